#include "ServiceMain.h"
#include <deque>

using namespace masticwall;

namespace {

/** A list and when it was set. */
struct Version
{
  Instant at;
  std::string text;
};

/** The platform's VM list: PUT /vms sets it, GET /vms shows it as it was some time ago.
 */
class VmListService
{
public:
  VmListService(TimerService& aTimers, int aLagMs)
    : mTimers(aTimers)
    , mLag(std::chrono::milliseconds(aLagMs))
  {
    mVersions.push_back({ aTimers.now() - mLag, "{\"vms\":[]}" });
  }

  void handle(const http::Request& aRequest, const http::ResponderPtr& aResponder)
  {
    if (aRequest.method == "PUT") {
      mVersions.push_back({ mTimers.now(), aRequest.body });
      aResponder->respond(standin::okResponse({}));
      return;
    }
    const auto before = mTimers.now() - mLag;
    while (mVersions.size() > 1 && mVersions[1].at <= before) {
      mVersions.pop_front();
    }
    const auto& version = mVersions.front();
    const auto tag = '"' + std::to_string(std::hash<std::string>()(version.text)) + '"';
    if (http::findHeader(aRequest.headers, "If-None-Match") == tag) {
      aResponder->respond({ 304, { { "ETag", tag } }, {}, true });
      return;
    }
    auto response = standin::okResponse(QByteArray::fromStdString(version.text));
    response.headers.push_back({ "ETag", tag });
    aResponder->respond(std::move(response));
  }

private:
  TimerService& mTimers;
  Duration mLag;
  std::deque<Version> mVersions;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  return standin::runService(
    aArgc, aArgv, [](TimerService& aTimers, const standin::Options& aOptions) {
      return VmListService(aTimers, aOptions.number(QStringLiteral("lag-ms"), 0));
    });
}
