#include "serve.h"

#include "cli.h"
#include "log.h"

namespace yucca::serve
{

namespace
{

// Waits for the stop signal, then for the requests in flight. Returns false if some remain after the grace time.
Task<bool> stopGracefully(http::Server &server, Millis grace)
{
    co_await cli::waitForStopSignal();
    log::event(log::Event::StopRequested, "inflight=" + std::to_string(server.inflight()));
    server.stopAccepting();
    co_return co_await server.waitIdle(grace);
}

} // namespace

int untilSignal(const std::string &what, const settings::Listen &listen, Millis grace, http::Handler handler)
{
    asio::io_context loop(1);
    http::Server server({&loop}, listen.host, listen.port, std::move(handler));
    auto bound = server.start();
    if (!ok(bound)) {
        fprintf(stderr, "%s: %s\n", what.c_str(), std::get<Error>(bound).message.c_str());
        return cli::ExitFailure;
    }
    log::event(log::Event::ProgramStarted, what + " port=" + std::to_string(std::get<uint16_t>(bound)));
    bool clean = false;
    asio::co_spawn(loop, stopGracefully(server, grace), [&](std::exception_ptr, bool idle) {
        clean = idle;
        loop.stop();
    });
    loop.run();
    log::event(log::Event::ProgramStopped, clean ? "clean=true" : "clean=false");
    return clean ? cli::ExitOk : cli::ExitFailure;
}

} // namespace yucca::serve
