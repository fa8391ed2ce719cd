#include <decide/PresetInquiry.h>

namespace masticwall {

InquiryStep
PresetInquiry::onUnknownKey(Instant aNow)
{
  if (mIsInProgress) {
    if (mWaiting >= kMaxWaiting) {
      return InquiryStep::Refuse;
    }
    ++mWaiting;
    return InquiryStep::Wait;
  }
  if (mStartedAt != Instant{} && aNow - mStartedAt < kPeriod) {
    return InquiryStep::Refuse;
  }
  mStartedAt = aNow;
  mIsInProgress = true;
  mWaiting = 1;
  return InquiryStep::Ask;
}

} // namespace masticwall
