#include "RawAnswer.h"
#include <cstdlib>

namespace masticwall::standin {

namespace {

QByteArray
decodedField(const http::Request& aRequest, const char* aName)
{
  const auto text = http::findHeader(aRequest.headers, aName);
  return QByteArray::fromPercentEncoding(
    QByteArray(text.data(), static_cast<qsizetype>(text.size())));
}

} // namespace

std::optional<RawAnswer>
RawAnswer::fromRequest(const http::Request& aRequest)
{
  const std::string pause(http::findHeader(aRequest.headers, "Test-Raw-Pause-Ms"));
  const RawAnswer answer{ decodedField(aRequest, "Test-Raw-Answer"),
                          decodedField(aRequest, "Test-Raw-Unit"),
                          std::chrono::milliseconds(std::atoi(pause.c_str())) };
  const bool isAsked = !answer.bytes.isEmpty() || !answer.unit.isEmpty();
  return isAsked ? std::optional(answer) : std::nullopt;
}

RawAnswer
RawAnswer::withSigns(const std::string& aSigns) const
{
  auto answer = *this;
  const auto signs = QByteArray::fromStdString(aSigns);
  answer.bytes.replace("{signs}", signs);
  answer.unit.replace("{signs}", signs);
  return answer;
}

} // namespace masticwall::standin
