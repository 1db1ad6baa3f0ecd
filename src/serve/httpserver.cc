#include "serve/httpserver.h"

#include "core/guard.h"
#include "observe/events.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <sys/socket.h>

#include <map>
#include <mutex>

namespace hibiscushold {

namespace {

constexpr int kInternalError = 500;

Refusal
RefusalOf(const Failure& aFailure)
{
  const RefusalKind kind = aFailure.mError == Error::HeadTooLarge
                             ? RefusalKind::HeadTooLarge
                             : RefusalKind::InvalidRequest;
  return { kind, "head: " + aFailure.mDetail };
}

} // namespace

ResultOrRefusal<std::optional<RequestHead>>
ReceiveRequestHead(ServerSession& aSession,
                   const RequestLimits& aLimits,
                   const Clock& aClock)
{
  aSession.SetDeadline(aClock.Now() + aLimits.mHeadTimeout);
  Result<std::optional<RequestHead>> head =
    aSession.ReceiveHead(aLimits.mMaxHeadBytes);
  if (!head) {
    return RefusalOf(head.error());
  }
  return std::move(head.value());
}

void
RefuseHead(ServerSession& aSession,
           const Refusal& aRefusal,
           const Clock& aClock)
{
  LogEvent(EventId::RequestUnreadable,
           { { "reason", aRefusal.mMessage },
             { "refused_as", NameOf(aRefusal.mKind) } });
  ResponseWriter writer(aSession, RequestHead{});
  writer.SendComplete(StatusOf(aRefusal.mKind),
                      { { "Content-Type", "application/json" } },
                      RenderRefusal(aRefusal));
  writer.DiscardRest(aClock);
}

/// The open connections. Thread-safe.
class HttpServer::OpenConnections
{
public:
  void Add(const Connection& aConnection, int aSocket)
  {
    const std::lock_guard guard(mLock);
    mOpen[&aConnection] = { aSocket, false };
  }

  void Remove(const Connection& aConnection)
  {
    const std::lock_guard guard(mLock);
    mOpen.erase(&aConnection);
  }

  /// @return whether the connection may serve a request, as the server isn't
  ///         closed
  bool TryBeginRequest(const Connection& aConnection)
  {
    const std::lock_guard guard(mLock);
    mOpen[&aConnection].mIsServing = !mIsClosed;
    return !mIsClosed;
  }

  /// @return whether the connection can serve another request
  bool EndRequest(const Connection& aConnection)
  {
    const std::lock_guard guard(mLock);
    mOpen[&aConnection].mIsServing = false;
    return !mIsClosed;
  }

  void Close(bool aCutsRequests)
  {
    const std::lock_guard guard(mLock);
    mIsClosed = true;
    for (const auto& [connection, entry] : mOpen) {
      if (aCutsRequests || !entry.mIsServing) {
        ::shutdown(entry.mSocket, SHUT_RDWR);
      }
    }
  }

private:
  struct Entry
  {
    int mSocket = -1;
    bool mIsServing = false;
  };

  std::mutex mLock; ///< guards all below
  std::map<const Connection*, Entry> mOpen;
  bool mIsClosed = false;
};

class HttpServer::Connection final : public Poco::Net::TCPServerConnection
{
public:
  Connection(const Poco::Net::StreamSocket& aSocket,
             const RequestHandler& aHandler,
             std::shared_ptr<OpenConnections> aOpenConnections)
    : TCPServerConnection(aSocket)
    , mHandler(aHandler)
    , mOpenConnections(std::move(aOpenConnections))
    , mSession(aSocket, mClock)
  {
    mOpenConnections->Add(*this, aSocket.impl()->sockfd());
  }

  ~Connection() override { mOpenConnections->Remove(*this); }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void run() override
  {
    try {
      while (
        mSession.WaitForBytes(mClock.Now() + RequestLimits{}.mIdleTimeout) &&
        mOpenConnections->TryBeginRequest(*this)) {
        const bool isKept = ServeRequest();
        if (!mOpenConnections->EndRequest(*this) || !isKept) {
          return;
        }
      }
    } catch (const Poco::Exception& e) {
      LogEvent(EventId::RequestUnreadable, { { "reason", e.displayText() } });
    } catch (const std::exception& e) {
      LogEvent(EventId::RequestUnreadable, { { "reason", e.what() } });
    }
  }

private:
  /// @return whether the connection can take another request
  bool ServeRequest()
  {
    ResultOrRefusal<std::optional<RequestHead>> head =
      ReceiveRequestHead(mSession, RequestLimits{}, mClock);
    if (!head) {
      RefuseHead(mSession, head.error(), mClock);
      return false;
    }
    if (!head.value()) {
      return false; // the peer has closed the connection
    }
    ServerRequest request(mSession, std::move(*head.value()));
    ResponseWriter writer(mSession, request.Head());
    if (request.Head().mExpectsContinue) {
      writer.SendContinue();
    }
    Handle(request, writer);
    if (!request.Body().IsComplete()) {
      writer.DiscardRest(mClock);
    }
    return writer.KeepsConnection();
  }

  void Handle(ServerRequest& aRequest, ResponseWriter& aWriter) const
  {
    try {
      mHandler(aRequest, aWriter);
    } catch (...) {
      LogEvent(EventId::HandlerFailed,
               { { "request", aRequest.Head().mUri },
                 { "reason", DescribeException() } });
      aWriter.SetKeepsConnection(false);
      if (aWriter.HasStarted()) {
        aWriter.Abort();
      } else {
        aWriter.SendComplete(kInternalError, {}, "");
      }
    }
  }

  const SystemClock mClock;
  const RequestHandler& mHandler;
  const std::shared_ptr<OpenConnections> mOpenConnections;
  ServerSession mSession;
};

class HttpServer::ConnectionFactory final
  : public Poco::Net::TCPServerConnectionFactory
{
public:
  ConnectionFactory(RequestHandler aHandler,
                    std::shared_ptr<OpenConnections> aOpenConnections)
    : mHandler(std::move(aHandler))
    , mOpenConnections(std::move(aOpenConnections))
  {
  }

  Poco::Net::TCPServerConnection* createConnection(
    const Poco::Net::StreamSocket& aSocket) override
  {
    return new Connection(aSocket, mHandler, mOpenConnections);
  }

private:
  const RequestHandler mHandler;
  const std::shared_ptr<OpenConnections> mOpenConnections;
};

HttpServer::HttpServer(RequestHandler aHandler,
                       Poco::ThreadPool& aThreads,
                       const Poco::Net::ServerSocket& aSocket,
                       const Poco::Net::HTTPServerParams::Ptr& aParams)
  : mOpenConnections(std::make_shared<OpenConnections>())
  , mServer(new ConnectionFactory(std::move(aHandler), mOpenConnections),
            aThreads,
            aSocket,
            aParams)
{
}

HttpServer::~HttpServer() = default;

void
HttpServer::Close(bool aCutsRequests)
{
  mServer.stop();
  mOpenConnections->Close(aCutsRequests);
}

} // namespace hibiscushold
