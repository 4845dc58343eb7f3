// yucca-platform: emulates the platform's object API and VM list.
#include "cli.h"
#include "log.h"
#include "platform_server.h"
#include "serve.h"

using namespace yucca;

namespace
{
constexpr Millis stopGrace{3000}; ///< for requests in flight at a stop
}

int main(int argc, const char **argv)
{
    cli::CommonOptions common;
    int port = -1;
    const poptOption programOptions[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port (overrides settings)", "PORT"},
        POPT_TABLEEND,
    };
    std::vector<std::string> arguments;
    if (auto rc = cli::parse("yucca-platform", argc, argv, programOptions, common, arguments)) {
        return *rc;
    }
    auto s = cli::loadSettings<settings::PlatformSettings>(common, settings::parsePlatform);
    if (!s) {
        return cli::ExitUsage;
    }
    if (port >= 0) {
        s->listen.port = static_cast<uint16_t>(port);
    }
    log::init("yucca-platform", s->logLevel);
    platform::PlatformServer platform(*s);
    // Watches may wait for longer than the grace time. Requests that are still in flight at the end are no failure
    // here.
    const int rc = serve::untilSignal("yucca-platform", s->listen, stopGrace, [&](http::Exchange &ex) {
        return platform.handle(ex);
    });
    return rc == cli::ExitFailure ? cli::ExitOk : rc;
}
