#include <decide/KeyCheck.h>

namespace masticwall {

namespace {

const Tenant*
findTenant(const std::vector<Tenant>& aTenants,
           const TenantIndex& aIndex,
           const CallerCredential& aCredential)
{
  if (aCredential.form != CredentialForm::Key) {
    return nullptr;
  }
  const auto position = aIndex.find(aTenants, aCredential.key);
  return position.has_value() ? &aTenants[*position] : nullptr;
}

/** Of a call that carries no key that is known. */
KeyVerdict
verdictWithoutTenant(CredentialForm aForm, bool aIsStale)
{
  switch (aForm) {
    case CredentialForm::None:
      return KeyVerdict::Missing;
    case CredentialForm::Malformed:
      return KeyVerdict::Malformed;
    case CredentialForm::Repeated:
      return KeyVerdict::Repeated;
    case CredentialForm::Key:
      break;
  }
  return aIsStale ? KeyVerdict::Stale : KeyVerdict::Unknown;
}

} // namespace

KeyCheck
KeyCheck::of(const Preset& aPreset,
             const Route& aRoute,
             const CallerCredential& aCredential,
             Duration aSourceAge)
{
  if (!aPreset.tenants.has_value()) {
    return {};
  }
  const bool isStale = aSourceAge > aPreset.keys.revokeWithin;
  const auto* const tenant =
    findTenant(*aPreset.tenants, aPreset.tenantIndex, aCredential);
  if (tenant != nullptr && !(isStale && aPreset.keys.failsClosed)) {
    return { KeyVerdict::Known, tenant };
  }
  if (aRoute.isPublic) {
    return {};
  }
  return { tenant != nullptr ? KeyVerdict::Stale
                             : verdictWithoutTenant(aCredential.form, isStale),
           nullptr };
}

std::optional<CallError>
KeyCheck::refusal() const
{
  switch (verdict) {
    case KeyVerdict::NotNeeded:
    case KeyVerdict::Known:
      return std::nullopt;
    case KeyVerdict::Stale:
      return CallError::NotReady;
    default:
      return CallError::UnknownKey;
  }
}

} // namespace masticwall
