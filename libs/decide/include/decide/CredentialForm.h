#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** In which form a request carries a key. */
enum class CredentialForm
{
  None,      ///< it carries no credentials
  Key,       ///< exactly one key
  Malformed, ///< credentials that hold no key
  Repeated,  ///< credentials more than once, so that it isn't clear whose request it is
};

template<>
struct EnumTable<CredentialForm>
{
  static constexpr std::array<EnumName<CredentialForm>, 4> kEntries{ {
    { CredentialForm::None, "none" },
    { CredentialForm::Key, "key" },
    { CredentialForm::Malformed, "malformed" },
    { CredentialForm::Repeated, "repeated" },
  } };
};

} // namespace masticwall
