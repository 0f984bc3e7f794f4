#include <cstdlib>
#include <exception>
#include <iostream>

#include <ctl/Commands.h>

int
main(int aCount, char** aArguments)
{
  using namespace papayaway;
  try {
    const char* token = std::getenv("PAPAYAWAY_TOKEN");
    const ExitCode code = RunCtl({ aArguments + 1, aArguments + aCount },
                                 token == nullptr ? "" : token,
                                 std::cout,
                                 std::cerr);
    std::cout.flush();
    return static_cast<int>(std::cout ? code : ExitCode::Failed);
  } catch (const std::exception& error) {
    std::cerr << "papayawayctl: " << error.what() << "\n";
    return static_cast<int>(ExitCode::Failed);
  }
}
