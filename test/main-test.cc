// The main function of every test program.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int aCount, char** aArguments)
{
  // Asio and nlohmann keep memory beyond one test, which the leak check of
  // CppUTest would count against it.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
