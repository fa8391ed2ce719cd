#include "PlatformHttp.h"
#include <platform/VmListClient.h>

namespace masticwall {

struct VmListClient::Impl
{
  QUrl url;
  PlatformHttp http;
};

VmListClient::VmListClient(const QUrl& aBase)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->url = aBase;
  mImpl->url.setPath(QStringLiteral("/vms"));
}

VmListClient::~VmListClient() = default;

void
VmListClient::fetch(Duration aTimeout, Done aDone)
{
  mImpl->http.get(mImpl->url, aTimeout, std::move(aDone));
}

} // namespace masticwall
