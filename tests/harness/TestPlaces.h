#pragma once

#include <QtGlobal>

// Where the processes of a test system listen, within its loopback network.
namespace masticwall::test {

inline constexpr quint16 kPeerPort = 8081;
inline constexpr quint16 kEntryOperatorPort = 8082;
inline constexpr quint16 kControlPort = 8083;
inline constexpr quint16 kControlOperatorPort = 8084;
inline constexpr quint16 kStandinPort = 9000;
inline constexpr quint16 kProxyAdminPort = 9001;
inline constexpr int kLogHost = 1;
inline constexpr int kVmListHost = 60; ///< and up, where each VM sees a list of its own
inline constexpr int kLogProxyHost = 3;

} // namespace masticwall::test
