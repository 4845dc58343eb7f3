// yucca-engine: emulates a model engine or, with --kind service, a plain service.
#include "cli.h"
#include "engine_server.h"
#include "log.h"
#include "serve.h"

using namespace yucca;

int main(int argc, const char **argv)
{
    cli::CommonOptions common;
    int port = -1;
    char *id = nullptr;
    char *kind = nullptr;
    const poptOption programOptions[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port (overrides settings)", "PORT"},
        {"id", 0, POPT_ARG_STRING, &id, 0, "engine id (overrides settings)", "ID"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, "engine or service (overrides settings)", "KIND"},
        POPT_TABLEEND,
    };
    std::vector<std::string> arguments;
    if (auto rc = cli::parse("yucca-engine", argc, argv, programOptions, common, arguments)) {
        return *rc;
    }
    auto s = cli::loadSettings<settings::EngineSettings>(common, settings::parseEngine);
    if (!s) {
        return cli::ExitUsage;
    }
    if (port >= 0) {
        s->listen.port = static_cast<uint16_t>(port);
    }
    if (id) {
        s->id = id;
    }
    if (kind) {
        auto k = parseName(endpointKindNames, kind);
        if (!k) {
            fprintf(stderr, "yucca-engine: --kind must be engine or service\n");
            return cli::ExitUsage;
        }
        s->kind = *k;
    }
    log::init("yucca-engine", s->logLevel);
    engine::EngineServer engine(*s);
    return serve::untilSignal("yucca-engine id=" + s->id, s->listen, Millis(s->stopGraceMs), [&](http::Exchange &ex) {
        return engine.handle(ex);
    });
}
