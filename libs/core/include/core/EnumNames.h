#pragma once

#include <array>
#include <concepts>
#include <optional>
#include <string_view>
#include <type_traits>

namespace masticwall {

/** One row of a table of names: an enumerator and its name on the wire and in logs. */
template<class E>
struct EnumName
{
  E value;
  std::string_view name;
};

/**
 * The table of names of an enumeration. Each `enum class` specialises it with a
 * `static constexpr std::array kEntries` of EnumName rows.
 */
template<class E>
struct EnumTable;

/** An enumeration that has a table of names. */
template<class E>
concept NamedEnum = std::is_enum_v<E> && requires
{
  EnumTable<E>::kEntries.size();
};

/** The name of `aValue`; "?" for a value that the table lacks. */
template<NamedEnum E>
constexpr std::string_view
nameOf(E aValue)
{
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.value == aValue) {
      return it.name;
    }
  }
  return "?";
}

/** The enumerator called `aName`, or nothing. Names are compared exactly. */
template<NamedEnum E>
constexpr std::optional<E>
fromName(std::string_view aName)
{
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.name == aName) {
      return it.value;
    }
  }
  return std::nullopt;
}

} // namespace masticwall
