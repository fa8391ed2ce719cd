#define CATCH_CONFIG_RUNNER
#include <QCoreApplication>
#include <catch2/catch.hpp>

/** Runs the Catch2 tests with a Qt application, so that event loops work in tests. */
int
main(int aArgc, char* aArgv[])
{
  QCoreApplication app(aArgc, aArgv);
  return Catch::Session().run(aArgc, aArgv);
}
