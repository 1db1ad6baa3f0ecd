#include "serve/credentials.h"

#include "observe/events.h"

namespace hibiscushold {

Result<std::shared_ptr<Credentials>>
Credentials::Load(const Settings& aSettings)
{
  std::shared_ptr<Credentials> credentials(new Credentials(aSettings));
  if (aSettings.mTls.IsConfigured()) {
    BOOST_OUTCOME_TRY(credentials->LoadTls(aSettings));
  }
  return credentials;
}

Credentials::Credentials(const Settings& aSettings)
  : mSettingsPath(aSettings.mPath)
  , mPeerTokenSetting(aSettings.mPeerToken)
  , mOperatorTokenSetting(aSettings.mOperatorToken)
  , mPeerTokens(aSettings.mPeerToken)
  , mOperatorTokens(aSettings.mOperatorToken)
{
}

Result<void>
Credentials::LoadTls(const Settings& aSettings)
{
  const TlsFiles& files = aSettings.mTls;
  BOOST_OUTCOME_TRY(peers, TlsContext::Load(files, TlsRole::MutualTlsServer));
  BOOST_OUTCOME_TRY(peerClient, TlsContext::Load(files, TlsRole::Client));
  mPeerTls = peers;
  mPeerClientTls = peerClient;
  if (aSettings.mTlsForCallers) {
    BOOST_OUTCOME_TRY(callers, TlsContext::Load(files, TlsRole::Server));
    mCallerTls = callers;
  }
  return boost::outcome_v2::success();
}

void
Credentials::Reload()
{
  if (!mSettingsPath.empty()) {
    ReloadTokens();
  }
  ReloadTls(mCallerTls);
  ReloadTls(mPeerTls);
  ReloadTls(mPeerClientTls);
}

void
Credentials::ReloadTokens()
{
  Result<Settings> settings = LoadSettings(mSettingsPath);
  if (!settings) {
    LogEvent(EventId::CredentialsRejected,
             { { "reason", Describe(settings.error()) } });
    return;
  }
  const bool changed = settings.value().mPeerToken != mPeerTokenSetting ||
                       settings.value().mOperatorToken != mOperatorTokenSetting;
  if (!changed) {
    return;
  }
  mPeerTokenSetting = settings.value().mPeerToken;
  mOperatorTokenSetting = settings.value().mOperatorToken;
  mPeerTokens.Replace(mPeerTokenSetting);
  mOperatorTokens.Replace(mOperatorTokenSetting);
  LogEvent(EventId::CredentialsReloaded, { { "what", "tokens" } });
}

void
Credentials::ReloadTls(const std::shared_ptr<TlsContext>& aContext)
{
  if (aContext == nullptr) {
    return;
  }
  Result<bool> reloaded = aContext->ReloadIfChanged();
  if (!reloaded) {
    LogEvent(EventId::CredentialsRejected,
             { { "reason", Describe(reloaded.error()) } });
  } else if (reloaded.value()) {
    LogEvent(EventId::CredentialsReloaded, { { "what", "certificates" } });
  }
}

} // namespace hibiscushold
