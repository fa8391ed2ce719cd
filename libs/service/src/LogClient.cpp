#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>
#include <service/LogClient.h>
#include <service/ServiceError.h>
#include <service/ServiceHttp.h>

namespace masticwall {

namespace {

QUrl
streamUrl(const QUrl& aBase, const std::string& aStream)
{
  QUrl url = aBase;
  url.setPath(QStringLiteral("/streams/") + QString::fromStdString(aStream));
  return url;
}

/** Returns 0 if the value is missing or no number. */
std::uint64_t
toOffset(const QJsonValue& aValue)
{
  return static_cast<std::uint64_t>(aValue.toInteger(0));
}

Result<std::uint64_t>
parseAppendResponse(const QByteArray& aText)
{
  const auto offset = QJsonDocument::fromJson(aText).object()[QStringLiteral("offset")];
  if (!offset.isDouble()) {
    return ServiceError::BadResponse;
  }
  return toOffset(offset);
}

Result<LogPage>
parsePage(const QByteArray& aText)
{
  const auto object = QJsonDocument::fromJson(aText).object();
  if (!object[QStringLiteral("head")].isDouble()) {
    return ServiceError::BadResponse;
  }
  LogPage page;
  page.first = toOffset(object[QStringLiteral("first")]);
  page.head = toOffset(object[QStringLiteral("head")]);
  for (const auto& it : object[QStringLiteral("records")].toArray()) {
    const auto record = it.toObject();
    page.records.push_back(
      { toOffset(record[QStringLiteral("offset")]),
        QByteArray::fromBase64(record[QStringLiteral("data")].toString().toLatin1()) });
  }
  return page;
}

} // namespace

struct LogClient::Impl
{
  QUrl base;
  ServiceHttp appendHttp;
  ServiceHttp readHttp; ///< separate, so that long polls don't delay appends
};

LogClient::LogClient(const QUrl& aBase)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->base = aBase;
}

LogClient::~LogClient() = default;

void
LogClient::append(const std::string& aStream,
                  const QByteArray& aData,
                  Duration aTimeout,
                  AppendCallback aCallback)
{
  mImpl->appendHttp.post(
    streamUrl(mImpl->base, aStream),
    aData,
    aTimeout,
    [callback = std::move(aCallback)](const Result<QByteArray>& aResult) {
      if (aResult.has_error()) {
        callback(aResult.error());
        return;
      }
      callback(parseAppendResponse(aResult.value()));
    });
}

void
LogClient::read(const std::string& aStream,
                std::uint64_t aFrom,
                Duration aWait,
                Duration aTimeout,
                ReadCallback aCallback)
{
  auto url = streamUrl(mImpl->base, aStream);
  QUrlQuery query;
  query.addQueryItem(QStringLiteral("from"), QString::number(aFrom));
  query.addQueryItem(QStringLiteral("wait_ms"), QString::number(toMilliseconds(aWait)));
  url.setQuery(query);
  mImpl->readHttp.get(
    url, aTimeout, [callback = std::move(aCallback)](const Result<QByteArray>& aResult) {
      if (aResult.has_error()) {
        callback(aResult.error());
        return;
      }
      callback(parsePage(aResult.value()));
    });
}

} // namespace masticwall
