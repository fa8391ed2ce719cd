#pragma once

#include <core/EnumNames.h>
#include <cstdint>
#include <decide/AdmissionRequest.h>
#include <optional>
#include <vector>

namespace masticwall {

/** The admission decision for one call. */
enum class AdmissionVerdict : std::uint8_t
{
  Start,  ///< send it now; it counts as in flight until AdmissionQueue::release()
  Wait,   ///< queued; a later release() starts or expires it
  Refuse, ///< answer it with an overload error
};

template<>
struct EnumTable<AdmissionVerdict>
{
  static constexpr std::array<EnumName<AdmissionVerdict>, 3> kEntries{ {
    { AdmissionVerdict::Start, "start" },
    { AdmissionVerdict::Wait, "wait" },
    { AdmissionVerdict::Refuse, "refuse" },
  } };
};

/**
 * The decision on a new call. If the queue is full and the call's caller has far fewer
 * waiting calls than another one, the call takes the place of one of the other's.
 */
struct Admission
{
  AdmissionVerdict verdict = AdmissionVerdict::Refuse;
  std::optional<AdmissionRequest> displaced; ///< lost its place; to be refused
};

/** The waiting calls that leave the queue when a call in flight ends. */
struct AdmissionRelease
{
  std::vector<AdmissionRequest> started; ///< to be sent now
  std::vector<AdmissionRequest>
    expired; ///< past their deadline or their rank's target; to be refused
};

} // namespace masticwall
