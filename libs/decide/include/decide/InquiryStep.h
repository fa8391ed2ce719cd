#pragma once

namespace masticwall {

/** What becomes of a call whose key this VM doesn't know; see PresetInquiry. */
enum class InquiryStep
{
  Refuse, ///< at once
  Wait,   ///< for the end of the inquiry in progress
  Ask,    ///< and wait: an inquiry begins
};

} // namespace masticwall
