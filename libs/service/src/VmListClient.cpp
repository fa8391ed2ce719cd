#include <service/ServiceHttp.h>
#include <service/VmListClient.h>

namespace masticwall {

struct VmListClient::Impl
{
  QUrl url;
  QByteArray tag; ///< entity tag of the list that was fetched last
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
VmListClient::fetch(Duration aTimeout, Callback aCallback)
{
  mImpl->http.getIfChanged(mImpl->url, mImpl->tag, aTimeout, std::move(aCallback));
}

} // namespace masticwall
