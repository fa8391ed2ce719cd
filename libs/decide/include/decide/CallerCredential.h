#pragma once

#include <decide/CredentialForm.h>
#include <string>

namespace masticwall {

/** The key that a request carries, as a dialect has read it. */
struct CallerCredential
{
  CredentialForm form = CredentialForm::None;
  std::string key{}; ///< a secret; empty unless `form` is Key
};

} // namespace masticwall
