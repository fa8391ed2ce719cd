#pragma once

#include <array>
#include <concepts>
#include <optional>
#include <string_view>
#include <type_traits>

namespace masticwall {

/** An enumerator and its external name, as used in messages, settings and logs. */
template<class E>
struct EnumName
{
  E value;
  std::string_view name;
};

/**
 * Maps the enumerators of `E` to their external names. Each `enum class` with external
 * names specialises it with a `static constexpr std::array kEntries` of EnumName.
 */
template<class E>
struct EnumTable;

/** An enumeration with an EnumTable specialisation. */
template<class E>
concept NamedEnum = std::is_enum_v<E> && requires
{
  EnumTable<E>::kEntries.size();
};

/** The external name of `aValue`, or "?" if the table has no entry for it. */
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

/** The enumerator with the external name `aName` (case-sensitive), or nothing. */
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
