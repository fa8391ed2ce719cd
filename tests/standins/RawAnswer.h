#pragma once

#include <QByteArray>
#include <core/Time.h>
#include <http/Request.h>
#include <optional>
#include <string>

namespace masticwall::standin {

/** Bytes that an upstream sends in place of an answer. */
struct RawAnswer
{
  QByteArray bytes;    ///< sent once
  QByteArray unit;     ///< then sent again and again until the connection ends, if any
  Duration pause{ 0 }; ///< before the first unit

  /**
   * What a request asks for by the percent-encoded fields Test-Raw-Answer and
   * Test-Raw-Unit, and by Test-Raw-Pause-Ms.
   */
  static std::optional<RawAnswer> fromRequest(const http::Request& aRequest);

  /** Puts the fields that `aSigns` has in place of "{signs}". */
  RawAnswer withSigns(const std::string& aSigns) const;
};

} // namespace masticwall::standin
