// yucca-endpoint: emulates an endpoint of the users' platform.
#include "cli.h"
#include "endpoint_server.h"
#include "log.h"

#include <boost/asio/detached.hpp>

using namespace yucca;

namespace
{

// Waits for the stop signal. The endpoint then continues to serve for the linger time, so that its callers can learn
// that it is leaving.
Task<void> stopGracefully(emulators::EndpointServer &endpoint, http::Server &server, Millis stopDelay)
{
    co_await cli::waitForStopSignal();
    endpoint.leave();
    co_await sleepFor(stopDelay);
    server.stopAccepting();
    co_await server.waitIdle(stopDelay);
}

} // namespace

int main(int argc, const char **argv)
{
    cli::CommonOptions common;
    emulators::EndpointOptions options;
    char *id = nullptr;
    char *service = nullptr;
    int port = options.listen.port;
    int storePort = options.store.port;
    int streams = 0;
    int coldMs = 0;
    char *zone = nullptr;
    int advertisedPort = 0;
    int workMs = static_cast<int>(options.work.count());
    char *runLog = nullptr;
    char *backoffViolationLog = nullptr;
    char *crashBody = nullptr;
    const poptOption own[] = {
        {"id", 0, POPT_ARG_STRING, &id, 0, "the endpoint's id", "ID"},
        {"service", 0, POPT_ARG_STRING, &service, 0, "the service it belongs to", "NAME"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port", "PORT"},
        {"store-port", 0, POPT_ARG_INT, &storePort, 0, "the object store's port", "PORT"},
        {"work-ms", 0, POPT_ARG_INT, &workMs, 0, "of a plain call", "MS"},
        {"advertise", 0, POPT_ARG_INT, &advertisedPort, 0, "the port that callers are told, where a proxy stands before it", "PORT"},
        {"run-log", 0, POPT_ARG_STRING, &runLog, 0, "a file that gets the id of each request before it runs", "FILE"},
        {"rest-log", 0, POPT_ARG_STRING, &backoffViolationLog, 0, "a file that gets the senders that go on in spite of a rest that was asked for", "FILE"},
        {"ends-under", 0, POPT_ARG_STRING, &crashBody, 0, "a request with this body ends the process", "BODY"},
        {"zone", 0, POPT_ARG_STRING, &zone, 0, "its failure domain", "NAME"},
        {"cold-ms", 0, POPT_ARG_INT, &coldMs, 0, "it is cold for so long after its start", "MS"},
        {"cold-most", 0, POPT_ARG_INT, &options.maxColdRequestsPerS, 0, "requests in a second that it bears while it is cold; more end the process", "N"},
        {"streams", 0, POPT_ARG_NONE, &streams, 0, "answer with event streams", nullptr},
        {"events", 0, POPT_ARG_INT, &options.events, 0, "events of a stream", "N"},
        POPT_TABLEEND,
    };
    std::vector<std::string> rest;
    if (auto rc = cli::parse("yucca-endpoint", argc, argv, own, common, rest)) {
        return *rc;
    }
    options.id = id ? id : options.id;
    options.service = service ? service : options.service;
    options.listen.port = static_cast<uint16_t>(port);
    options.store.port = static_cast<uint16_t>(storePort);
    options.zone = zone ? zone : options.zone;
    options.coldFor = Millis(coldMs);
    options.streams = streams != 0;
    options.work = Millis(workMs);
    options.advertisedPort = static_cast<uint16_t>(advertisedPort);
    options.runLog = runLog ? runLog : "";
    options.backoffViolationLog = backoffViolationLog ? backoffViolationLog : "";
    options.crashBody = crashBody ? crashBody : "";
    log::init("yucca-endpoint", "info");
    asio::io_context loop(1);
    emulators::EndpointServer endpoint(options);
    http::Server server({&loop}, options.listen.host, options.listen.port, [&](http::Exchange &ex) {
        return endpoint.handle(ex);
    });
    const auto bound = server.start();
    if (!ok(bound)) {
        fprintf(stderr, "yucca-endpoint: %s\n", std::get<Error>(bound).message.c_str());
        return cli::ExitFailure;
    }
    log::event(log::Event::ProgramStarted, "id=" + options.id);
    asio::co_spawn(loop, endpoint.heartbeat(), asio::detached);
    asio::co_spawn(loop, stopGracefully(endpoint, server, options.stopDelay), [&](std::exception_ptr) {
        loop.stop();
    });
    loop.run();
    log::event(log::Event::ProgramStopped);
    return cli::ExitOk;
}
