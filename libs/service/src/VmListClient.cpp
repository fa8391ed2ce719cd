#include <service/ServiceHttp.h>
#include <service/VmListClient.h>

namespace masticwall {

struct VmListClient::Impl
{
  QUrl url;
  QByteArray tag; ///< of the list that was fetched last
  ServiceHttp http;
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
  mImpl->http.getIfChanged(mImpl->url, mImpl->tag, aTimeout, std::move(aDone));
}

} // namespace masticwall
