#pragma once

#include "core/errors.h"
#include "core/settings.h"
#include "core/tls.h"
#include "core/tokenset.h"

#include <memory>

namespace hibiscushold {

/// The tokens and TLS contexts of a node, which can be reloaded from their
/// files while the node runs. Safe for several threads.
class Credentials
{
public:
  /// @return the credentials, or TlsInvalid
  static Result<std::shared_ptr<Credentials>> Load(const Settings& aSettings);

  /// Reads the settings file and the TLS files again and applies changed tokens
  /// and certificates. If a file is invalid, this is logged and the previous
  /// values stay in use.
  void Reload();

  /// @return the tokens accepted from peers
  const TokenSet& PeerTokens() const { return mPeerTokens; }
  /// @return the tokens accepted from operators
  const TokenSet& OperatorTokens() const { return mOperatorTokens; }
  /// @return the context of the caller port, null for plain HTTP
  std::shared_ptr<TlsContext> CallerTls() const { return mCallerTls; }
  /// @return the context of the peer port, null for plain HTTP
  std::shared_ptr<TlsContext> PeerTls() const { return mPeerTls; }
  /// @return the context of connections to peers, null for plain HTTP
  std::shared_ptr<TlsContext> PeerClientTls() const { return mPeerClientTls; }

private:
  explicit Credentials(const Settings& aSettings);

  Result<void> LoadTls(const Settings& aSettings);
  void ReloadTokens();
  static void ReloadTls(const std::shared_ptr<TlsContext>& aContext);

  const std::string mSettingsPath;
  std::string mPeerTokenSetting;
  std::string mOperatorTokenSetting;
  TokenSet mPeerTokens;
  TokenSet mOperatorTokens;
  std::shared_ptr<TlsContext> mCallerTls;
  std::shared_ptr<TlsContext> mPeerTls;
  std::shared_ptr<TlsContext> mPeerClientTls;
};

} // namespace hibiscushold
