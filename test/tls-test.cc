#include "cluster/peerclient.h"
#include "core/http.h"
#include "core/tls.h"
#include "core/tokenset.h"
#include "standin/server.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr long kSecondsPerDay = 24L * 3600;

void
WriteKey(const std::string& aPath, EVP_PKEY* aKey)
{
  std::FILE* file = std::fopen(aPath.c_str(), "w");
  PEM_write_PrivateKey(file, aKey, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(file);
  chmod(aPath.c_str(), S_IRUSR | S_IWUSR);
}

/// Writes a self-signed certificate that expires aValidSeconds from now, and
/// its key. A negative value gives an expired certificate.
void
WriteCertificateAndKey(const std::string& aCertificate,
                       const std::string& aKey,
                       long aValidSeconds)
{
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  X509_set_version(certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -2 * kSecondsPerDay);
  X509_gmtime_adj(X509_getm_notAfter(certificate), aValidSeconds);
  X509_NAME* name = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(name,
                             "CN",
                             MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>("node"),
                             -1,
                             -1,
                             0);
  X509_set_issuer_name(certificate, name);
  X509_set_pubkey(certificate, key);
  X509_sign(certificate, key, EVP_sha256());
  std::FILE* file = std::fopen(aCertificate.c_str(), "w");
  PEM_write_X509(file, certificate);
  std::fclose(file);
  WriteKey(aKey, key);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

} // namespace

TEST_GROUP(Tls)
{
  Poco::TemporaryFile mFolder;
  SystemClock mClock;

  void setup() override
  {
    mFolder.createDirectories();
  }

  std::string Path(const std::string& aName)
  {
    return mFolder.path() + "/" + aName;
  }

  TlsFiles Files(const std::string& aName, long aValidSeconds = kSecondsPerDay)
  {
    WriteCertificateAndKey(
      Path(aName + ".pem"), Path(aName + ".key"), aValidSeconds);
    return { Path(aName + ".pem"), Path(aName + ".key"), Path(aName + ".pem") };
  }

  Error LoadError(const TlsFiles& aFiles, const char* aPath)
  {
    Result<std::shared_ptr<TlsContext>> loaded =
      TlsContext::Load(aFiles, TlsRole::MutualTlsServer);
    CHECK_FALSE(loaded.has_value());
    STRCMP_CONTAINS(aPath, loaded.error().mDetail.c_str());
    return loaded.error().mError;
  }

  std::shared_ptr<TlsContext> Load(const TlsFiles& aFiles, TlsRole aRole)
  {
    return TlsContext::Load(aFiles, aRole).value();
  }

  Result<HttpReply> Call(standin::Server & aServer,
                         std::shared_ptr<TlsContext> aTls)
  {
    HttpClient client(mClock, std::move(aTls));
    return client.Call(
      aServer.Address(), { "GET", "/", {}, {} }, mClock.Now() + seconds(5));
  }
};

TEST(Tls, RejectsInvalidFilesAndReportsTheirPaths)
{
  const TlsFiles good = Files("good");
  TlsFiles missing = good;
  missing.mCaFile = Path("none.pem");
  CHECK(Error::TlsInvalid == LoadError(missing, "none.pem"));
  CHECK(Error::TlsInvalid ==
        LoadError(Files("old", -kSecondsPerDay), "old.pem"));
  TlsFiles mismatched = good;
  mismatched.mKeyFile = Files("other").mKeyFile;
  CHECK(Error::TlsInvalid == LoadError(mismatched, "good.pem"));
  const TlsFiles open = Files("open");
  chmod(open.mKeyFile.c_str(), S_IRUSR | S_IWUSR | S_IRGRP);
  CHECK(Error::TlsInvalid == LoadError(open, "open.key"));
  TlsFiles garbled = good;
  garbled.mCertificateFile = Path("garbled.pem");
  std::ofstream(garbled.mCertificateFile) << "no certificate";
  CHECK(Error::TlsInvalid == LoadError(garbled, "garbled.pem"));
}

TEST(Tls, PeersAreAuthenticatedByTheirCertificate)
{
  const TlsFiles ours = Files("ours");
  standin::Server server(
    Load(ours, TlsRole::MutualTlsServer),
    [](auto&, auto& aResponse) { standin::SendReply(aResponse, 200, "{}"); });
  Result<HttpReply> reply = Call(server, Load(ours, TlsRole::Client));
  CHECK(reply.has_value());
  CHECK_EQUAL(200, reply.value().mStatus);
  CHECK_FALSE(
    Call(server, Load(Files("foreign"), TlsRole::Client)).has_value());
  CHECK_FALSE(Call(server, nullptr).has_value());
}

// Guards against a connection that is cut off and seems to have ended in order:
// with TLS, only an alert of the peer ends it.
TEST(Tls, ConnectionThatEndsWithoutAnAlertIsCutOff)
{
  const TlsFiles ours = Files("ours");
  for (const bool hasAlert : { true, false }) {
    standin::Server server(
      Load(ours, TlsRole::MutualTlsServer), [&](auto& aRequest, auto&) {
        aRequest.response().setKeepAlive(false);
        auto& socket = standin::SocketOf(aRequest);
        const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nhalf of";
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (hasAlert) {
          socket.shutdown();
        } else {
          ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
        }
      });
    const auto tls = Load(ours, TlsRole::Client);
    HttpSession session(server.Address(), mClock, tls.get());
    CHECK(Connect(session, server.Address(), seconds(5)).has_value());
    CHECK(session.SendRequest("GET", "/", {}, "").has_value());
    const ResponseHead head = session.ReceiveHead();
    std::string body;
    bool isWhole = false;
    try {
      char buf[64];
      while (const size_t n = session.ReadRaw(buf)) {
        body.append(buf, n);
      }
      isWhole = true;
    } catch (const Poco::Exception&) {
      isWhole = false;
    }
    STRCMP_EQUAL("half of", body.c_str());
    CHECK_EQUAL(hasAlert, isWhole);
  }
}

TEST(Tls, ReloadsChangedFilesAndKeepsTheContextWhenTheyAreInvalid)
{
  const TlsFiles files = Files("node");
  std::shared_ptr<TlsContext> tls = Load(files, TlsRole::MutualTlsServer);
  CHECK_FALSE(tls->ReloadIfChanged().value());
  const auto before = tls->Current();
  Files("node");
  Poco::File(files.mKeyFile).setLastModified(Poco::Timestamp() + 2000000);
  CHECK(tls->ReloadIfChanged().value());
  CHECK(before.get() != tls->Current().get());
  const auto current = tls->Current();
  Files("node", -kSecondsPerDay);
  CHECK_FALSE(tls->ReloadIfChanged().has_value());
  CHECK(current.get() == tls->Current().get());
}

TEST_GROUP(Tokens){};

TEST(Tokens, AcceptsEveryTokenAndSendsTheFirst)
{
  TokenSet tokens("new-token-0123456 old-token-0123456");
  STRCMP_EQUAL("Bearer new-token-0123456", tokens.AuthorizationValue().c_str());
  CHECK(tokens.Accepts("Bearer old-token-0123456"));
  CHECK_FALSE(tokens.Accepts("Bearer "));
  CHECK_FALSE(tokens.Accepts(""));
  CHECK_FALSE(tokens.Accepts("Bearer new-token-012345"));
  tokens.Replace("new-token-0123456");
  CHECK_FALSE(tokens.Accepts("Bearer old-token-0123456"));
  CHECK_FALSE(CheckTokens("short").has_value());
  CHECK_FALSE(CheckTokens("").has_value());
}
