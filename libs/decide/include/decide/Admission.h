#pragma once

#include <core/EnumNames.h>
#include <cstdint>
#include <decide/Ticket.h>
#include <optional>
#include <vector>

namespace masticwall {

/** What admission says to a call. */
enum class AdmissionVerdict : std::uint8_t
{
  Start,
  Wait,
  Refuse,
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

/** The verdict on an offered call, and a waiting call that it displaced. */
struct Admission
{
  AdmissionVerdict verdict = AdmissionVerdict::Refuse;
  std::optional<Ticket> displaced; ///< to be refused as overload
};

/** What follows from a call's end. */
struct AdmissionRelease
{
  std::vector<Ticket> started;
  std::vector<Ticket> expired; ///< waited longer than their rank's target; to be refused
};

} // namespace masticwall
