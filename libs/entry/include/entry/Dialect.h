#pragma once

#include <concepts>
#include <core/CallError.h>
#include <decide/UpstreamAddress.h>
#include <entry/CallTerms.h>
#include <http/Request.h>
#include <http/Response.h>
#include <messages/UpstreamSigns.h>
#include <system_error>

namespace masticwall {

/**
 * How calls, answers and outcomes are written in HTTP, for callers and upstreams. A
 * dialect translates and decides nothing; its functions are pure and thread-safe.
 */
template<class D>
concept Dialect = requires(const http::Request& aRequest,
                           http::Request& aSent,
                           const http::Response& aResponse,
                           const CallTerms& aTerms,
                           const UpstreamAddress& aUpstream,
                           Duration aTime,
                           Instant aNow)
{
  {
    D::readTerms(aRequest)
    } -> std::same_as<CallTerms>;
  D::writeTerms(aSent, aUpstream, aTime);
  {
    D::readSigns(aResponse, aNow)
    } -> std::same_as<UpstreamSigns>;
  {
    D::isAnswerTo(aResponse, aTerms)
    } -> std::same_as<bool>;
  {
    D::encodeOutcome(Outcome::NotRun, CallError::Overload, aTime)
    } -> std::same_as<http::Response>;
  {
    D::encodeAnswer(aResponse)
    } -> std::same_as<http::Response>;
  {
    D::encodeUnreadable(std::error_code())
    } -> std::same_as<http::Response>;
  {
    D::kHasIds
    } -> std::convertible_to<bool>;
  {
    D::kHealthPath
    } -> std::convertible_to<const char*>;
};

/** A dialect as a table of its functions, for code that is compiled once. */
struct DialectTable
{
  CallTerms (*readTerms)(const http::Request&);

  /** States to `aUpstream` for whom the request is and the time that is left. */
  void (*writeTerms)(http::Request&, const UpstreamAddress&, Duration aLeft);
  UpstreamSigns (*readSigns)(const http::Response&, Instant aNow);

  /** Whether the response is an upstream's whole answer to the call with these terms. */
  bool (*isAnswerTo)(const http::Response&, const CallTerms&);
  http::Response (*encodeOutcome)(Outcome, CallError, Duration aRetryAfter);
  http::Response (*encodeAnswer)(http::Response);
  http::Response (*encodeUnreadable)(const std::error_code&);
  bool hasIds;            ///< answers name the request that they belong to
  const char* healthPath; ///< answered by the entry itself; null if there is none
};

template<Dialect D>
constexpr DialectTable
tableOf()
{
  return { &D::readTerms,        &D::writeTerms,    &D::readSigns,
           &D::isAnswerTo,       &D::encodeOutcome, &D::encodeAnswer,
           &D::encodeUnreadable, D::kHasIds,        D::kHealthPath };
}

} // namespace masticwall
