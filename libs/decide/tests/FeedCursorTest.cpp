#include <catch2/catch.hpp>
#include <decide/FeedCursor.h>

using namespace masticwall;

TEST_CASE("the cursor keeps the last revision and read sequence number received")
{
  FeedCursor cursor;
  CHECK(cursor.revision() == 0);
  CHECK(cursor.advance(7, 3, false, false));
  CHECK(cursor.revision() == 7);
  CHECK(cursor.readSequence() == 3);
  CHECK(cursor.advance(8, 4, true, false));
  CHECK(cursor.revision() == 8);
}

TEST_CASE("a stale list is skipped but its revision is kept")
{
  // Guards against a busy loop: with revision 0, two VMs requested each other's skipped
  // list over and over without delay, and did nothing else.
  FeedCursor cursor;
  CHECK_FALSE(cursor.advance(7, 3, false, true));
  CHECK(cursor.revision() == 7);
  CHECK(cursor.readSequence() == 3);
}

TEST_CASE("after a skipped list a delta is rejected and the full list requested")
{
  FeedCursor cursor;
  CHECK_FALSE(cursor.advance(7, 3, false, true));
  CHECK_FALSE(cursor.advance(8, 4, true, false));
  CHECK(cursor.revision() == 0);
  CHECK(cursor.advance(8, 4, false, false));
  CHECK(cursor.revision() == 8);
}
