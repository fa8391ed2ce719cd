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
 * Reads the fields of one TOML table, notes each wrong one, and on finish() each key
 * that was not asked for.
 */
class TomlReader
{
public:
  TomlReader(const toml::table& aTable,
             std::string aPath,
             std::vector<PresetProblem>& aProblems);

  std::string text(const char* aKey);
  std::string textOr(const char* aKey, const std::string& aDefault);
  double number(const char* aKey, double aDefault, double aLeast, double aMost);
  std::int64_t integer(const char* aKey,
                       std::int64_t aDefault,
                       std::int64_t aLeast,
                       std::int64_t aMost);
  bool flag(const char* aKey, bool aDefault);
  Duration milliseconds(const char* aKey, Duration aDefault);

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

  /** The table at `aKey`; an empty one if there is none. */
  const toml::table& table(const char* aKey);

  /** The tables of the array at `aKey`. */
  std::vector<const toml::table*> tables(const char* aKey);

  std::string pathOf(const std::string& aKey) const;
  void report(const char* aKey, const toml::node* aNode, std::string aExpected);

  /** Reports the keys that were not asked for. */
  void finish();

private:
  const toml::node* find(const char* aKey);

  const toml::table& mTable;
  std::string mPath;
  std::vector<PresetProblem>& mProblems;
  std::set<std::string> mKnown;
};

} // namespace masticwall
