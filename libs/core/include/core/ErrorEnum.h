#pragma once

#include <core/EnumNames.h>
#include <string>
#include <system_error>

namespace masticwall {

/**
 * The category of an error enumeration, so that every failure has a type and no bare
 * string is passed on. A code's message is its enumerator's external name in EnumTable.
 */
template<NamedEnum E>
class ErrorEnumCategory final : public std::error_category
{
public:
  const char* name() const noexcept override { return EnumTable<E>::kCategory; }

  std::string message(int aValue) const override
  {
    return std::string(nameOf(static_cast<E>(aValue)));
  }

  static const ErrorEnumCategory& instance()
  {
    static const ErrorEnumCategory sInstance;
    return sInstance;
  }
};

/** An enumeration whose EnumTable also has the name of its error category. */
template<class E>
concept ErrorEnum = NamedEnum<E> && requires
{
  EnumTable<E>::kCategory;
};

/** Called by the std::error_code constructor, through argument-dependent lookup. */
template<ErrorEnum E>
std::error_code
make_error_code(E aError) // NOLINT(readability-identifier-naming): the standard's name
{
  return { static_cast<int>(aError), ErrorEnumCategory<E>::instance() };
}

} // namespace masticwall

template<class E>
requires masticwall::ErrorEnum<E>
struct std::is_error_code_enum<E> : std::true_type
{};
