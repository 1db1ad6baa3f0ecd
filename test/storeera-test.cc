#include "fakeplatform.h"
#include "fleet/watcher.h"
#include "groups/leaseclient.h"
#include "listing.h"
#include "manualclock.h"
#include "platform/objectstore.h"
#include "relay/relayedplatform.h"
#include "scriptedserver.h"
#include "store/revision.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr uint64_t
At(uint64_t aEra, uint64_t aRevision)
{
  return MakeRevision(aEra, aRevision);
}

/// @param aEra value of the header, empty for none
std::string
Response(const std::string& aEra, const std::string& aBody, int aStatus = 200)
{
  const std::string era = aEra.empty() ? "" : "\r\nStore-Era: " + aEra;
  return "HTTP/1.1 " + std::to_string(aStatus) + " x" + era +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

const std::string kList = R"({"items":[{"metadata":{"name":"a","rev":4},
  "spec":{}}],"has_more":false,"as_of":7})";
const std::string kChanges = R"({"as_of":8,"events":[]})";
const std::string kWritten = R"({"metadata":{"name":"a","rev":9}})";

} // namespace

TEST_GROUP(StoreEra)
{
  SystemClock mClock;
  Metrics mMetrics;
  HttpClient mClient{ mClock };

  /// Makes the store known to be in era aEra.
  static void ReadEra(ObjectStore & aStore)
  {
    CHECK(aStore.List("a/", CallPriority::Config).has_value());
  }
};

// Guards against revisions of two eras that compare by their numbers alone.
TEST(StoreEra, OrdersRevisionsByEraFirst)
{
  CHECK(At(2, 1) > At(1, 900));
  CHECK(At(1, 900) > At(0, 901));
  CHECK_EQUAL(2U, EraOf(At(2, 7)));
  CHECK_EQUAL(7U, StoreRevisionOf(At(2, 7)));
  CHECK_EQUAL(7U, At(0, 7));
}

// Guards against objects of a restored store that look older than before.
TEST(StoreEra, IsPartOfAllRevisions)
{
  ScriptedServer server({ { Response("3", kList) },
                          { Response("3", kChanges) },
                          { Response("3", kWritten) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.List("a/", CallPriority::Config).value();
  CHECK(At(3, 7) == listing.mRevision);
  CHECK(At(3, 4) == listing.mObjects[0].mVersion);
  CHECK(At(3, 8) ==
        store.Watch("a/", At(3, 7), milliseconds(1)).value().mRevision);
  CHECK(At(3, 9) ==
        store.Update("a/a", "{}", At(3, 4), CallPriority::Lease).value());
  STRCMP_CONTAINS("watch=7&", server.Requests()[1].c_str());
  STRCMP_CONTAINS(R"("rev":4)", server.Requests()[2].c_str());
}

// Guards against changes of a restored store that are applied to objects of
// the era before.
TEST(StoreEra, EndsTheHistoryOfAWatch)
{
  ScriptedServer server(
    { { Response("1", kList) }, { Response("2", kChanges) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  for (int i = 0; i < 2; ++i) {
    const Result<Listing> read = store.Watch("a/", At(1, 7), milliseconds(1));
    CHECK(Error::StoreHistoryGone == read.error().mError);
  }
  CHECK_EQUAL(2U, server.Requests().size());
}

// Guards against a conditional write that succeeds as its revision is used
// again, for another content.
TEST(StoreEra, FailsConditionsOfAnEarlierEra)
{
  ScriptedServer server({ { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(
    Error::StoreConflict ==
    store.Update("a/a", "{}", At(1, 4), CallPriority::Lease).error().mError);
  CHECK(Error::StoreConflict ==
        store.Delete("a/a", At(1, 4), CallPriority::Lease).error().mError);
  CHECK_EQUAL(1U, server.Requests().size());
}

// Guards against a writer that believes that its condition was met when the
// store has changed its era under the call.
TEST(StoreEra, FailsAWriteDuringWhichTheEraRose)
{
  ScriptedServer server(
    { { Response("1", kList) }, { Response("2", kWritten) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(
    Error::StoreConflict ==
    store.Update("a/a", "{}", At(1, 4), CallPriority::Lease).error().mError);
}

// Guards against a late response of the previous era that is taken for the
// current state.
TEST(StoreEra, RejectsAResponseOfAnEarlierEra)
{
  ScriptedServer server({ { Response("2", kList) },
                          { Response("1", kList) },
                          { Response("1", kWritten) },
                          { Response("1", "{}", 404) },
                          { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(Error::StoreHistoryGone ==
        store.List("a/", CallPriority::Config).error().mError);
  // The write may have taken effect.
  CHECK(Error::StoreUnavailable ==
        store.Create("a/a", "{}", CallPriority::Lease).error().mError);
  CHECK(Error::StoreMissing !=
        store.Get("a/a", CallPriority::Lease).error().mError);
  ReadEra(store);
}

// Guards against an invalid header that is taken for era 0.
TEST(StoreEra, RejectsResponsesWithAnInvalidHeader)
{
  for (const char* it :
       { "x", "-1", "1x", "1.5", "65536", "99999999999999999999", "", " " }) {
    ScriptedServer server(
      { { Response("1", kList) }, { Response(it, kList) } });
    ObjectStore store(server.Address(), mClient, mClock, mMetrics);
    ReadEra(store);
    const Result<Listing> read = store.List("a/", CallPriority::Config);
    CHECK_TEXT(!read && Error::StoreHistoryGone == read.error().mError, it);
  }
}

// Guards against a list whose pages belong to two eras.
TEST(StoreEra, RejectsAListDuringWhichTheEraRose)
{
  ScriptedServer server(
    { { Response("1",
                 R"({"items":[{"metadata":{"name":"a","rev":1},"spec":{}}],
                 "has_more":true,"as_of":5})") },
      { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  CHECK(Error::StoreHistoryGone ==
        store.List("a/", CallPriority::Config).error().mError);
}
