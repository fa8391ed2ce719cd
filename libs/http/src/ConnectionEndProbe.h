#pragma once

namespace masticwall::http {

/**
 * Tells how a connection has ended: Qt reports a reset and an orderly close alike, and
 * closes its descriptor first. Keeps the socket open until it is destroyed.
 */
class ConnectionEndProbe
{
public:
  ConnectionEndProbe() = default;
  ~ConnectionEndProbe();
  ConnectionEndProbe(const ConnectionEndProbe&) = delete;
  ConnectionEndProbe& operator=(const ConnectionEndProbe&) = delete;

  /** Duplicates the descriptor of a connected socket, once. */
  void watch(int aSocket);

  /** True if the other end has closed the connection and not reset it; false also if
   * nothing is watched. */
  bool hasEndedInOrder() const;

private:
  int mSocket = -1;
};

} // namespace masticwall::http
