#pragma once

#include "core/errors.h"

#include <Poco/Net/Context.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Timestamp.h>

#include <memory>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Paths of the PEM files for TLS.
struct TlsFiles
{
  std::string mCertificateFile; ///< chain, own certificate first
  std::string mKeyFile;         ///< private key; only its owner may have access
  std::string mCaFile; ///< certificates that peers are verified against

  /// @return whether TLS is configured
  bool IsConfigured() const { return !mCertificateFile.empty(); }
};

/// The use of a TLS context.
enum class TlsRole
{
  Server,          ///< a server port that requests no client certificate
  MutualTlsServer, ///< a server port that requires a client certificate
  Client,          ///< outgoing connections, which present the certificate
};

/// A TLS context that can be reloaded when its files change, without a restart.
/// The minimum version is TLS 1.2. Thread-safe.
class TlsContext
{
public:
  /// Validates and loads the files.
  /// @return the context, or TlsInvalid when a file is missing or invalid, a
  ///         certificate has expired, the key doesn't match the certificate or
  ///         its file is accessible by others
  static Result<std::shared_ptr<TlsContext>> Load(TlsFiles aFiles,
                                                  TlsRole aRole);

  /// Reloads the files if one has a new modification time. On failure the
  /// previous context stays in use.
  /// @return whether the context was replaced, or TlsInvalid
  Result<bool> ReloadIfChanged();

  /// @return the context for new connections
  Poco::Net::Context::Ptr Current() const;

private:
  TlsContext(TlsFiles aFiles, TlsRole aRole, Poco::Net::Context::Ptr aContext);

  const TlsFiles mFiles;
  const TlsRole mRole;
  mutable std::mutex mLock;
  Poco::Net::Context::Ptr mContext;
  Poco::Timestamp mModifiedAt;
};

/// A listening socket that accepts each connection with the context that is
/// current at the time.
class TlsServerSocket final : public Poco::Net::ServerSocket
{
public:
  explicit TlsServerSocket(std::shared_ptr<TlsContext> aTls);
};

} // namespace hibiscushold
