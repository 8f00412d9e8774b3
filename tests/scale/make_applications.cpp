// Writes N descriptions of applications with 20 sidecars each into a folder, ten sidecars to a host and each
// host shared by several applications, to measure the check at the size of large sites:
//   build/tests/make_applications 1000 /tmp/apps && time build/umberdykectl config check /tmp/apps/*.toml
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

std::string HostName(int host) { return "host-" + std::to_string(host); }
std::string Address(int host) {
  return "10." + std::to_string(host / 62500) + "." + std::to_string(host / 250 % 250) + "." +
         std::to_string(1 + host % 250);
}

std::string Application(int app, int hosts) {
  constexpr int kSidecars = 20;
  std::string text =
      "format = 1\napplication = \"app-" + std::to_string(app) +
      "\"\nzones = [\"east\", \"west\"]\n[limits]\ndescriptors = 512\nmemory = \"64MiB\"\ncores = 0.4\n";
  for (const char* tier : {"front", "ledger"}) {
    text += "[[tier]]\nname = \"" + std::string(tier) +
            "\"\ndiscovery = \"10.250.0.1:8500\"\nkeeps_keys = \"10s\"\n" +
            (tier[0] == 'f' ? "calls = [\"ledger\"]\nattempts = 5\n" : "attempts = 1\n");
  }
  text +=
      "[[class]]\nname = \"look\"\nmethod = \"GET\"\nrepeat = \"safe\"\naim = \"1s\"\ngive_up = \"4s\"\n"
      "[[class]]\nname = \"hand\"\nmethod = \"POST\"\nrepeat = \"keyed\"\nkey = \"Idempotency-Key\"\n"
      "key_window = \"6s\"\naim = \"1s\"\ngive_up = \"4s\"\nworth = 6\n"
      "[[tenant]]\nname = \"one\"\nshare = 0.6\n[[tenant]]\nname = \"two\"\nshare = 0.4\n";
  std::string sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    // Strides that visit hosts evenly and never one twice for an application.
    const int host = static_cast<int>((static_cast<long long>(app) * 7 + i) % hosts);
    const std::string zone = host % 2 == 0 ? "east" : "west";
    text += "[[host]]\nname = \"" + HostName(host) + "\"\naddress = \"" + Address(host) + "\"\nzone = \"" +
            zone + "\"\ndescriptors = 65536\nmemory = \"8GiB\"\ncores = 16\n";
    sidecars += "[[sidecar]]\nname = \"app-" + std::to_string(app) + "-" + std::to_string(i) +
                "\"\ntier = \"" + (i % 2 == 0 ? "front" : "ledger") + "\"\nhost = \"" + HostName(host) +
                "\"\nlisten = \"" + Address(host) + ":" + std::to_string(10000 + app) + "\"\n";
  }
  return text + sidecars;
}

}  // namespace

int main(int argc, char** argv) {
  const int count = argc == 3 ? std::atoi(argv[1]) : 0;
  if (count < 1 || count > 50'000) {
    std::fprintf(stderr, "usage: make_applications COUNT (1 to 50000) FOLDER\n");
    return 2;
  }
  std::filesystem::create_directories(argv[2]);
  for (int app = 0; app < count; ++app) {
    std::ofstream file(std::string(argv[2]) + "/app-" + std::to_string(app) + ".toml");
    file << Application(app, std::max(20, 2 * count));
    if (!file.flush()) {
      std::fprintf(stderr, "cannot write into %s\n", argv[2]);
      return 2;
    }
  }
  return 0;
}
