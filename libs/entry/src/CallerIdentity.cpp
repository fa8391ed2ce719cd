#include "CallerIdentity.h"
#include <QCryptographicHash>
#include <algorithm>
#include <messages/HeaderNames.h>

namespace masticwall {

namespace {

void
addPart(QCryptographicHash& aHash, std::string_view aPart)
{
  // The length prefix keeps different lists of parts from giving the same hash input.
  const auto size = QByteArray::number(static_cast<qulonglong>(aPart.size()));
  aHash.addData(size + ':');
  aHash.addData(QByteArrayView(aPart.data(), static_cast<qsizetype>(aPart.size())));
}

Digest
digestOf(std::initializer_list<std::string_view> aParts)
{
  QCryptographicHash hash(QCryptographicHash::Sha256);
  for (const auto& it : aParts) {
    addPart(hash, it);
  }
  const auto result = hash.result();
  Digest digest;
  std::copy_n(result.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

} // namespace

std::string_view
callerOf(const http::Request& aRequest)
{
  return http::findHeader(aRequest.headers, headers::kCaller);
}

Digest
keyDigest(const http::Request& aRequest, std::string_view aTenant)
{
  const auto key = http::findHeader(aRequest.headers, headers::kIdempotencyKey);
  return aTenant.empty() ? digestOf({ callerOf(aRequest), key })
                         : digestOf({ callerOf(aRequest), key, aTenant });
}

Digest
requestDigest(const http::Request& aRequest,
              std::string_view aHost,
              std::string_view aTenant)
{
  if (!aTenant.empty()) {
    return digestOf({ aRequest.method, aRequest.target, aRequest.body, aHost, aTenant });
  }
  return aHost.empty()
           ? digestOf({ aRequest.method, aRequest.target, aRequest.body })
           : digestOf({ aRequest.method, aRequest.target, aRequest.body, aHost });
}

} // namespace masticwall
