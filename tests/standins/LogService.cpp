#include "LogService.h"
#include "AdminServer.h"
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace masticwall::standin {

namespace {

constexpr std::uint64_t kMostRecordsInPage = 1000;
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(100);

} // namespace

LogService::LogService(TimerService& aTimers, const Options& aOptions)
  : mTimers(aTimers)
  , mRetention(std::chrono::milliseconds(
      aOptions.number(QStringLiteral("retention-ms"), 3'600'000)))
{
  mExpiry = mTimers.scheduleEvery(kExpiryPeriod, [this] { expire(); });
}

void
LogService::handle(const http::Request& aRequest, const http::ResponderPtr& aResponder)
{
  if (pathOf(aRequest) == QLatin1String("/standin")) {
    change(aRequest);
    aResponder->respond(
      okResponse(QByteArray::number(static_cast<qulonglong>(mAppends))));
    return;
  }
  if (mIsHanging) {
    return;
  }
  if (mIsRefusing) {
    aResponder->respond({ 503, {}, {}, true });
    return;
  }
  if (mDelayMs == 0) {
    serve(aRequest, aResponder);
    return;
  }
  const auto id = mNextDelayed++;
  mDelayed[id] = mTimers.scheduleAfter(std::chrono::milliseconds(mDelayMs),
                                       [this, id, aRequest, aResponder] {
                                         const auto kept = std::move(mDelayed[id]);
                                         mDelayed.erase(id);
                                         serve(aRequest, aResponder);
                                       });
}

void
LogService::serve(const http::Request& aRequest, const http::ResponderPtr& aResponder)
{
  const auto path = pathOf(aRequest);
  const auto prefix = QStringLiteral("/streams/");
  if (!path.startsWith(prefix)) {
    aResponder->respond({ 404, {}, {}, true });
    return;
  }
  const auto stream = path.mid(prefix.size());
  if (aRequest.method == "POST") {
    append(stream, aRequest.body, aResponder);
  } else {
    read(stream, aRequest, aResponder);
  }
}

void
LogService::change(const http::Request& aRequest)
{
  const auto query = queryOf(aRequest);
  for (const auto& [name, value] : query.queryItems()) {
    if (name == QLatin1String("hang")) {
      mIsHanging = value.toInt() != 0;
    } else if (name == QLatin1String("refuse")) {
      mIsRefusing = value.toInt() != 0;
    } else if (name == QLatin1String("lose_answers")) {
      mLoseAnswers = value.toInt();
    } else if (name == QLatin1String("delay_ms")) {
      mDelayMs = value.toInt();
    } else if (name == QLatin1String("drop_newest")) {
      for (auto& [stream, state] : mStreams) {
        for (int i = 0; i < value.toInt() && !state.records.empty(); ++i) {
          state.records.pop_back();
        }
      }
    } else if (name == QLatin1String("drop_oldest")) {
      for (auto& [stream, state] : mStreams) {
        for (int i = 0; i < value.toInt() && !state.records.empty(); ++i) {
          state.records.pop_front();
          ++state.first;
        }
      }
    }
  }
}

void
LogService::append(const QString& aStream,
                   const std::string& aData,
                   const http::ResponderPtr& aResponder)
{
  auto& stream = mStreams[aStream];
  const auto offset = stream.head();
  stream.records.push_back({ QByteArray::fromStdString(aData), mTimers.now() });
  ++mAppends;
  if (mLoseAnswers > 0) {
    --mLoseAnswers;
    aResponder->respond({ 500, {}, {}, true });
  } else {
    const QJsonObject answer{ { QStringLiteral("offset"), static_cast<qint64>(offset) } };
    aResponder->respond(okResponse(QJsonDocument(answer).toJson(QJsonDocument::Compact)));
  }
  wakeReaders(aStream);
}

void
LogService::read(const QString& aStream,
                 const http::Request& aRequest,
                 const http::ResponderPtr& aResponder)
{
  const auto query = queryOf(aRequest);
  const auto from = query.queryItemValue(QStringLiteral("from")).toULongLong();
  const auto waitMs = query.queryItemValue(QStringLiteral("wait_ms")).toInt();
  const auto& stream = mStreams[aStream];
  if (from < stream.head() || waitMs == 0 || from > stream.head()) {
    aResponder->respond(page(aStream, from));
    return;
  }
  mReaders.push_back({ aStream, from, aResponder, {} });
  const auto it = std::prev(mReaders.end());
  aResponder->onDisconnect([this, it] { mReaders.erase(it); });
  it->timeout = mTimers.scheduleAfter(std::chrono::milliseconds(waitMs), [this, it] {
    const auto reader = std::move(*it);
    mReaders.erase(it);
    reader.responder->respond(page(reader.stream, reader.from));
  });
}

void
LogService::wakeReaders(const QString& aStream)
{
  for (auto it = mReaders.begin(); it != mReaders.end();) {
    if (it->stream != aStream) {
      ++it;
      continue;
    }
    const auto reader = std::move(*it);
    it = mReaders.erase(it);
    reader.responder->respond(page(aStream, reader.from));
  }
}

void
LogService::expire()
{
  const auto before = mTimers.now() - mRetention;
  for (auto& [name, stream] : mStreams) {
    while (!stream.records.empty() && stream.records.front().at < before) {
      stream.records.pop_front();
      ++stream.first;
    }
  }
}

http::Response
LogService::page(const QString& aStream, std::uint64_t aFrom) const
{
  const auto& stream = mStreams.at(aStream);
  QJsonArray records;
  const auto from = std::max(aFrom, stream.first);
  for (auto offset = from; offset < stream.head() && offset - from < kMostRecordsInPage;
       ++offset) {
    const auto& record = stream.records[offset - stream.first];
    records.append(QJsonObject{
      { QStringLiteral("offset"), static_cast<qint64>(offset) },
      { QStringLiteral("data"), QString::fromLatin1(record.data.toBase64()) } });
  }
  const QJsonObject answer{
    { QStringLiteral("first"), static_cast<qint64>(stream.first) },
    { QStringLiteral("head"), static_cast<qint64>(stream.head()) },
    { QStringLiteral("records"), records }
  };
  return okResponse(QJsonDocument(answer).toJson(QJsonDocument::Compact));
}

} // namespace masticwall::standin
