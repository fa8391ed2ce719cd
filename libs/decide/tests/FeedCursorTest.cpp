#include <catch2/catch.hpp>
#include <decide/FeedCursor.h>

using namespace masticwall;

TEST_CASE("each request states what was told last")
{
  FeedCursor cursor;
  CHECK(cursor.revision() == 0);
  CHECK(cursor.take(7, 3, false, false));
  CHECK(cursor.revision() == 7);
  CHECK(cursor.reading() == 3);
  CHECK(cursor.take(8, 4, true, false));
  CHECK(cursor.revision() == 8);
}

TEST_CASE("an older list is passed over and not asked for again at once")
{
  // Two VMs asked each other for the same list without a pause, and did nothing else.
  FeedCursor cursor;
  CHECK_FALSE(cursor.take(7, 3, false, true));
  CHECK(cursor.revision() == 7);
  CHECK(cursor.reading() == 3);
}

TEST_CASE("after an older list a delta is not enough")
{
  FeedCursor cursor;
  CHECK_FALSE(cursor.take(7, 3, false, true));
  CHECK_FALSE(cursor.take(8, 4, true, false));
  CHECK(cursor.revision() == 0);
  CHECK(cursor.take(8, 4, false, false));
  CHECK(cursor.revision() == 8);
}
