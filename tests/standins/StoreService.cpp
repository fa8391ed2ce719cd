#include "StoreService.h"
#include "AdminServer.h"
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QtEndian>

namespace masticwall::standin {

void
StoreService::handle(const http::Request& aRequest, const http::ResponderPtr& aResponder)
{
  const auto path = pathOf(aRequest);
  if (path == QLatin1String("/standin")) {
    change(aRequest);
    aResponder->respond(okResponse(QByteArray::number(static_cast<qulonglong>(mCalls))));
    return;
  }
  ++mCalls;
  const bool isOperator = queryOf(aRequest).hasQueryItem(QStringLiteral("operator"));
  if (mIsHanging && !isOperator) {
    return;
  }
  auto response =
    mIsRefusing && !isOperator ? http::Response{ 503, {}, {}, true } : answer(aRequest);
  const auto era = mEraText.empty() ? std::to_string(mEra) : mEraText;
  if (era != "none") {
    response.headers.push_back({ "Store-Era", era });
  }
  aResponder->respond(std::move(response));
}

http::Response
StoreService::answer(const http::Request& aRequest)
{
  const auto path = pathOf(aRequest);
  const auto topic =
    queryOf(aRequest).queryItemValue(QStringLiteral("topic")).toStdString();
  if (path == QLatin1String("/log-append")) {
    return append(topic, aRequest.body);
  }
  if (path == QLatin1String("/log-newest")) {
    return newest(topic);
  }
  return { 404, {}, {}, true };
}

void
StoreService::change(const http::Request& aRequest)
{
  for (const auto& [name, value] : queryOf(aRequest).queryItems()) {
    if (name == QLatin1String("hang")) {
      mIsHanging = value.toInt() != 0;
    } else if (name == QLatin1String("refuse")) {
      mIsRefusing = value.toInt() != 0;
    } else if (name == QLatin1String("save")) {
      mSavedTopics = mTopics;
    } else if (name == QLatin1String("restore")) {
      mTopics = mSavedTopics;
      ++mEra;
    } else if (name == QLatin1String("era")) {
      mEraText = value.toStdString();
    }
  }
}

http::Response
StoreService::append(const std::string& aTopic, const std::string& aBody)
{
  auto& topic = mTopics[aTopic];
  std::string_view rest = aBody;
  while (rest.size() > sizeof(quint32)) {
    const auto size = qFromBigEndian<quint32>(rest.data());
    auto record = rest.substr(sizeof(quint32), size);
    rest.remove_prefix(std::min(rest.size(), sizeof(quint32) + size));
    const auto keySize = static_cast<unsigned char>(record.empty() ? 0 : record[0]);
    if (keySize == 0 || record.size() < 1U + keySize) {
      return { 400, {}, {}, true };
    }
    const std::string key(record.substr(1, keySize));
    const auto value = record.substr(1U + keySize);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {
        QByteArray(value.data(), static_cast<qsizetype>(value.size())), topic.end
      };
    }
    ++topic.end;
  }
  return okResponse("{}");
}

http::Response
StoreService::newest(const std::string& aTopic)
{
  QJsonArray items;
  for (const auto& [key, record] : mTopics[aTopic].newest) {
    items.append(QJsonObject{
      { QStringLiteral("key"), QString::fromStdString(key) },
      { QStringLiteral("value"), QString::fromLatin1(record.value.toBase64()) },
      { QStringLiteral("offset"), static_cast<qint64>(record.offset) } });
  }
  const QJsonObject page{ { QStringLiteral("items"), items },
                          { QStringLiteral("more"), false } };
  return okResponse(QJsonDocument(page).toJson(QJsonDocument::Compact));
}

} // namespace masticwall::standin
