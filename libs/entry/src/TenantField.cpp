#include <entry/BearerCredential.h>
#include <entry/TenantField.h>

namespace masticwall {

void
replaceTenant(http::HeaderList& aHeaders,
              std::string_view aName,
              const TenantField& aTenant)
{
  if (!aTenant.isUsed) {
    return;
  }
  http::removeHeader(aHeaders, kAuthorization);
  http::removeHeader(aHeaders, aName);
  if (!aTenant.name.empty()) {
    aHeaders.push_back({ std::string(aName), aTenant.name });
  }
}

} // namespace masticwall
