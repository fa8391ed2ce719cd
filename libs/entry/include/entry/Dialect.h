#pragma once

#include <concepts>
#include <core/CallError.h>
#include <decide/UpstreamAddress.h>
#include <entry/CallMetadata.h>
#include <entry/TenantField.h>
#include <http/Request.h>
#include <http/Response.h>
#include <messages/UpstreamReport.h>
#include <system_error>

namespace masticwall {

/**
 * A set of HTTP headers and status codes in which calls, responses and outcomes are
 * encoded towards callers and upstreams. A dialect only encodes and decodes; it makes no
 * decisions about a call. Its functions are pure and thread-safe.
 */
template<class D>
concept Dialect = requires(const http::Request& aRequest,
                           http::Request& aSent,
                           const http::Response& aResponse,
                           const CallMetadata& aMetadata,
                           const UpstreamAddress& aUpstream,
                           const TenantField& aTenant,
                           Duration aTime,
                           Instant aNow)
{
  {
    D::readMetadata(aRequest)
    } -> std::same_as<CallMetadata>;
  D::writeUpstreamHeaders(aSent, aUpstream, aTenant, aTime);
  {
    D::readUpstreamReport(aResponse, aNow)
    } -> std::same_as<UpstreamReport>;
  {
    D::isResponseTo(aResponse, aMetadata)
    } -> std::same_as<bool>;
  {
    D::isLoadQueryResponse(aResponse)
    } -> std::same_as<bool>;
  {
    D::encodeOutcome(Outcome::NotRun, CallError::Overload, aTime)
    } -> std::same_as<http::Response>;
  {
    D::encodeResponse(aResponse)
    } -> std::same_as<http::Response>;
  {
    D::encodeHttpError(std::error_code())
    } -> std::same_as<http::Response>;
  {
    D::kEchoesRequestId
    } -> std::convertible_to<bool>;
  {
    D::kHealthPath
    } -> std::convertible_to<const char*>;
};

/** A dialect's functions as pointers, for code that is not a template. */
struct DialectTable
{
  CallMetadata (*readMetadata)(const http::Request&);

  /** Adds the headers for the upstream: the instance it is meant for, the call's tenant,
   * and the time left until the call's deadline. */
  void (*writeUpstreamHeaders)(http::Request&,
                               const UpstreamAddress&,
                               const TenantField&,
                               Duration aTimeLeft);

  /** Reads what an upstream reports about itself with a response. */
  UpstreamReport (*readUpstreamReport)(const http::Response&, Instant aNow);

  /** Whether a complete response belongs to the call with this metadata. */
  bool (*isResponseTo)(const http::Response&, const CallMetadata&);

  /** Whether a complete response may belong to a load query, and to no call. */
  bool (*isLoadQueryResponse)(const http::Response&);

  /** The response to a call that got none from an upstream. */
  http::Response (*encodeOutcome)(Outcome, CallError, Duration aRetryAfter);

  /** An upstream's response as it is sent to the caller. */
  http::Response (*encodeResponse)(http::Response);

  /** The response to a request that could not be parsed or received (an HttpError). */
  http::Response (*encodeHttpError)(const std::error_code&);
  bool echoesRequestId;   ///< upstreams' responses carry the request id
  const char* healthPath; ///< served by the entry process itself; null if none
};

/** The functions of dialect `D`. */
template<Dialect D>
constexpr DialectTable
makeDialectTable()
{
  return { &D::readMetadata,   &D::writeUpstreamHeaders, &D::readUpstreamReport,
           &D::isResponseTo,   &D::isLoadQueryResponse,  &D::encodeOutcome,
           &D::encodeResponse, &D::encodeHttpError,      D::kEchoesRequestId,
           D::kHealthPath };
}

} // namespace masticwall
