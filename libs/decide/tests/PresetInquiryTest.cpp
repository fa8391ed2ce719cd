#include <algorithm>
#include <catch2/catch.hpp>
#include <decide/PresetInquiry.h>

using namespace masticwall;

namespace {

const Instant kStart{ std::chrono::hours(1) };

} // namespace

TEST_CASE("calls with unknown keys wait for one inquiry, and those after it do not")
{
  PresetInquiry inquiry;
  CHECK(inquiry.onUnknownKey(kStart) == InquiryStep::Ask);
  CHECK(inquiry.onUnknownKey(kStart + 1ms) == InquiryStep::Wait);
  inquiry.onEnd();
  CHECK(inquiry.onUnknownKey(kStart + 20ms) == InquiryStep::Refuse);
  CHECK(inquiry.onUnknownKey(kStart + 249ms) == InquiryStep::Refuse);
  CHECK(inquiry.onUnknownKey(kStart + 250ms) == InquiryStep::Ask);
}

TEST_CASE("a flood of unknown keys leads to four inquiries a second, and few calls wait")
{
  PresetInquiry inquiry;
  int asked = 0;
  int waiting = 0;
  int mostWaiting = 0;
  Instant endsAt{};
  for (int ms = 0; ms < 10'000; ++ms) {
    const auto now = kStart + std::chrono::milliseconds(ms);
    if (waiting > 0 && now >= endsAt) {
      inquiry.onEnd();
      waiting = 0;
    }
    for (int i = 0; i < 5; ++i) {
      const auto step = inquiry.onUnknownKey(now);
      if (step == InquiryStep::Ask) {
        ++asked;
        endsAt = now + PresetInquiry::kMaxWait;
      }
      waiting += step == InquiryStep::Refuse ? 0 : 1;
    }
    mostWaiting = std::max(mostWaiting, waiting);
  }
  CHECK(asked == 40);
  CHECK(mostWaiting == 32);
}

TEST_CASE("a caller that leaves makes room for another that waits")
{
  PresetInquiry inquiry;
  CHECK(inquiry.onUnknownKey(kStart) == InquiryStep::Ask);
  for (int i = 1; i < 32; ++i) {
    CHECK(inquiry.onUnknownKey(kStart) == InquiryStep::Wait);
  }
  CHECK(inquiry.onUnknownKey(kStart) == InquiryStep::Refuse);
  inquiry.onCallGone();
  CHECK(inquiry.onUnknownKey(kStart) == InquiryStep::Wait);
}
