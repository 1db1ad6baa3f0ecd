#include "core/tls.h"

#include <Poco/Crypto/X509Certificate.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/Net/SSLManager.h>
#include <Poco/Net/SecureStreamSocketImpl.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <openssl/ssl.h>
#include <sys/stat.h>

#include <algorithm>

namespace hibiscushold {

namespace {

using Poco::Net::Context;

constexpr const char* kCiphers = "HIGH:!aNULL:!MD5:!RC4:!3DES";

Failure
Invalid(const std::string& aPath, std::string aWhy, std::string aRemedy)
{
  return { Error::TlsInvalid,
           aPath + ": " + std::move(aWhy),
           std::move(aRemedy) };
}

Result<void>
CheckReadable(const std::string& aPath)
{
  try {
    if (Poco::File(aPath).canRead()) {
      return boost::outcome_v2::success();
    }
  } catch (const Poco::Exception&) {
    // The file doesn't exist, for example; the same failure is returned below.
  }
  return Invalid(aPath, "the file cannot be read", "check [tls] and the path");
}

Result<void>
CheckKeyPermissions(const std::string& aPath)
{
  struct stat info
  {};
  const bool readableByOthers = stat(aPath.c_str(), &info) == 0 &&
                                (info.st_mode & (S_IRWXG | S_IRWXO)) != 0;
  if (readableByOthers) {
    return Invalid(
      aPath, "the key is readable by others", "run chmod 600 on it");
  }
  return boost::outcome_v2::success();
}

Result<void>
CheckExpiry(const std::string& aPath)
{
  try {
    const Poco::Crypto::X509Certificate certificate(aPath);
    const Poco::DateTime end = certificate.expiresOn();
    if (end < Poco::DateTime()) {
      const std::string when = Poco::DateTimeFormatter::format(
        end, Poco::DateTimeFormat::ISO8601_FORMAT);
      return Invalid(aPath,
                     "the certificate expired at " + when,
                     "replace it with a valid one");
    }
  } catch (const Poco::Exception& e) {
    return Invalid(aPath, e.displayText(), "give a PEM certificate");
  }
  return boost::outcome_v2::success();
}

Result<void>
CheckFiles(const TlsFiles& aFiles)
{
  for (const std::string& it :
       { aFiles.mCertificateFile, aFiles.mKeyFile, aFiles.mCaFile }) {
    BOOST_OUTCOME_TRY(CheckReadable(it));
  }
  BOOST_OUTCOME_TRY(CheckKeyPermissions(aFiles.mKeyFile));
  BOOST_OUTCOME_TRY(CheckExpiry(aFiles.mCertificateFile));
  BOOST_OUTCOME_TRY(CheckExpiry(aFiles.mCaFile));
  return boost::outcome_v2::success();
}

Result<Context::Ptr>
MakeContext(const TlsFiles& aFiles, TlsRole aRole)
{
  BOOST_OUTCOME_TRY(CheckFiles(aFiles));
  Poco::Net::initializeSSL();
  try {
    Context::Params params;
    params.privateKeyFile = aFiles.mKeyFile;
    params.certificateFile = aFiles.mCertificateFile;
    params.caLocation = aFiles.mCaFile;
    params.verificationMode =
      aRole == TlsRole::Server ? Context::VERIFY_NONE : Context::VERIFY_STRICT;
    params.cipherList = kCiphers;
    Context::Ptr context =
      new Context(aRole == TlsRole::Client ? Context::TLS_CLIENT_USE
                                           : Context::TLS_SERVER_USE,
                  params);
    context->requireMinimumProtocol(Context::PROTO_TLSV1_2);
    // Peers are addressed by IP address, so host names aren't verified. Trust
    // rests on the CA alone.
    context->enableExtendedCertificateVerification(false);
    if (SSL_CTX_check_private_key(context->sslContext()) != 1) {
      return Invalid(aFiles.mKeyFile,
                     "the key does not belong to " + aFiles.mCertificateFile,
                     "use the key of that certificate");
    }
    return context;
  } catch (const Poco::Exception& e) {
    return Invalid(aFiles.mCertificateFile,
                   e.displayText(),
                   "check that certificate, key and authority belong together");
  }
}

Poco::Timestamp
LastModified(const TlsFiles& aFiles)
{
  Poco::Timestamp latest(0);
  for (const std::string& it :
       { aFiles.mCertificateFile, aFiles.mKeyFile, aFiles.mCaFile }) {
    latest = std::max(latest, Poco::File(it).getLastModified());
  }
  return latest;
}

/// The server side of an accepted TLS connection.
class AcceptedSocketImpl final : public Poco::Net::SecureStreamSocketImpl
{
public:
  AcceptedSocketImpl(Poco::Net::StreamSocketImpl* aStream,
                     const Context::Ptr& aContext)
    : SecureStreamSocketImpl(aStream, aContext)
  {
    // Only prepares the handshake, which runs on the connection's own thread.
    acceptSSL();
  }
};

/// Implements TlsServerSocket.
class TlsServerSocketImpl final : public Poco::Net::ServerSocketImpl
{
public:
  explicit TlsServerSocketImpl(std::shared_ptr<TlsContext> aTls)
    : mTls(std::move(aTls))
  {
  }

  Poco::Net::SocketImpl* acceptConnection(
    Poco::Net::SocketAddress& aClient) override
  {
    Poco::Net::SocketImpl* plain = ServerSocketImpl::acceptConnection(aClient);
    Poco::AutoPtr<Poco::Net::StreamSocketImpl> stream(
      dynamic_cast<Poco::Net::StreamSocketImpl*>(plain));
    return new AcceptedSocketImpl(stream, mTls->Current());
  }

private:
  const std::shared_ptr<TlsContext> mTls;
};

} // namespace

Result<std::shared_ptr<TlsContext>>
TlsContext::Load(TlsFiles aFiles, TlsRole aRole)
{
  BOOST_OUTCOME_TRY(context, MakeContext(aFiles, aRole));
  return std::shared_ptr<TlsContext>(
    new TlsContext(std::move(aFiles), aRole, context));
}

TlsContext::TlsContext(TlsFiles aFiles, TlsRole aRole, Context::Ptr aContext)
  : mFiles(std::move(aFiles))
  , mRole(aRole)
  , mContext(std::move(aContext))
  , mModifiedAt(LastModified(mFiles))
{
}

Result<bool>
TlsContext::ReloadIfChanged()
{
  BOOST_OUTCOME_TRY(CheckFiles(mFiles));
  const Poco::Timestamp modifiedAt = LastModified(mFiles);
  {
    const std::lock_guard guard(mLock);
    if (modifiedAt == mModifiedAt) {
      return false;
    }
  }
  BOOST_OUTCOME_TRY(context, MakeContext(mFiles, mRole));
  const std::lock_guard guard(mLock);
  mContext = context;
  mModifiedAt = modifiedAt;
  return true;
}

Context::Ptr
TlsContext::Current() const
{
  const std::lock_guard guard(mLock);
  return mContext;
}

TlsServerSocket::TlsServerSocket(std::shared_ptr<TlsContext> aTls)
  : ServerSocket(new TlsServerSocketImpl(std::move(aTls)), true)
{
}

} // namespace hibiscushold
