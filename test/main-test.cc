// The main function of every test program.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int aCount, char** aArguments)
{
  // Asio and nlohmann keep allocations beyond the end of a test, which
  // CppUTest's leak detection would report as leaks of that test.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
