#pragma once

#include "Toml.h"
#include <core/EnumNames.h>
#include <core/Time.h>
#include <set>
#include <settings/PresetProblem.h>
#include <string>
#include <vector>

namespace masticwall {

/**
 * Reads the fields of one TOML table and adds a problem for each invalid one. Unless
 * stated otherwise, a function with a default returns it if the field is missing or
 * invalid. Refers to the table and the list of problems, which must outlive it. Not
 * thread-safe.
 */
class TomlReader
{
public:
  TomlReader(const toml::table& aTable,
             std::string aPath,
             std::vector<PresetProblem>& aProblems);

  /** Reads a mandatory, non-empty string; returns an empty one if there is none. */
  std::string text(const char* aKey);

  /** Returns `aDefault` if the key is missing; an empty string if it is invalid. */
  std::string optionalText(const char* aKey, const std::string& aDefault);
  double number(const char* aKey, double aDefault, double aMin, double aMax);
  std::int64_t integer(const char* aKey,
                       std::int64_t aDefault,
                       std::int64_t aMin,
                       std::int64_t aMax);
  bool flag(const char* aKey, bool aDefault);

  /** Reads an integer number of milliseconds, from 1 ms to one day. */
  Duration milliseconds(const char* aKey, Duration aDefault);

  /** Reads an enum value by its name. */
  template<NamedEnum E>
  E name(const char* aKey, E aDefault)
  {
    const auto* const node = find(aKey);
    if (node == nullptr) {
      return aDefault;
    }
    const auto text = node->value<std::string>();
    const auto found = text ? fromName<E>(*text) : std::nullopt;
    if (!found) {
      std::string expected = "one of";
      for (const auto& it : EnumTable<E>::kEntries) {
        expected += ' ' + std::string(it.name);
      }
      report(aKey, node, expected);
      return aDefault;
    }
    return *found;
  }

  /** The table at `aKey`; an empty one if it is missing or no table. */
  const toml::table& table(const char* aKey);

  /** The tables of the array at `aKey`; empty if it is missing or invalid. */
  std::vector<const toml::table*> tables(const char* aKey);

  /** The key path of `aKey`, from the root of the preset. */
  std::string pathOf(const std::string& aKey) const;

  /** Adds a problem at the line of `aNode`; if `aNode` is null, at that of the table. */
  void report(const char* aKey, const toml::node* aNode, std::string aExpected);

  /** Reports the keys that no function has read; call it last. */
  void reportUnknownKeys();

private:
  /** Returns null if the key is missing. Marks the key as read. */
  const toml::node* find(const char* aKey);

  const toml::table& mTable;
  std::string mPath;
  std::vector<PresetProblem>& mProblems;
  std::set<std::string> mReadKeys;
};

} // namespace masticwall
