// yucca-endpoint: emulates an endpoint of the users' platform.
#include "cli.h"
#include "endpoint_server.h"
#include "log.h"

#include <boost/asio/detached.hpp>

using namespace yucca;

namespace
{

// Waits for the stop signal. The endpoint then continues to serve for stopDelay, so that its callers can learn
// that it is leaving.
Task<void> stopGracefully(emulators::EndpointServer &endpoint, http::Server &server, Millis stopDelay, Millis lastResponsesTime)
{
    co_await cli::waitForStopSignal();
    endpoint.leave();
    co_await sleepFor(stopDelay);
    server.stopAccepting();
    co_await server.waitIdle(lastResponsesTime);
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
    int eventGapMs = static_cast<int>(options.eventGap.count());
    int lastResponsesMs = static_cast<int>(options.lastResponsesTime.count());
    char *runLog = nullptr;
    char *arrivalLog = nullptr;
    char *backoffViolationLog = nullptr;
    char *crashBody = nullptr;
    char *crashPart = nullptr;
    char *version = nullptr;
    const poptOption programOptions[] = {
        {"id", 0, POPT_ARG_STRING, &id, 0, "endpoint id", "ID"},
        {"service", 0, POPT_ARG_STRING, &service, 0, "service that the endpoint belongs to", "NAME"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port", "PORT"},
        {"store-port", 0, POPT_ARG_INT, &storePort, 0, "port of the object store", "PORT"},
        {"work-ms", 0, POPT_ARG_INT, &workMs, 0, "duration of a request that is not streamed", "MS"},
        {"advertise", 0, POPT_ARG_INT, &advertisedPort, 0, "registered port, for an endpoint behind a proxy (0: the listen port)", "PORT"},
        {"run-log", 0, POPT_ARG_STRING, &runLog, 0, "file to which the id of each request is written before the request runs", "FILE"},
        {"arrival-log", 0, POPT_ARG_STRING, &arrivalLog, 0, "file that lists the Unix time in ms and the id of each request when it arrives", "FILE"},
        {"rest-log", 0, POPT_ARG_STRING, &backoffViolationLog, 0, "file that lists the senders which did not respect Retry-After", "FILE"},
        {"ends-under", 0, POPT_ARG_STRING, &crashBody, 0, "a request with this body crashes the endpoint", "BODY"},
        {"ends-on-part", 0, POPT_ARG_STRING, &crashPart, 0, "a request whose prompt has this part, not as the last, crashes the endpoint", "HEX"},
        {"software-version", 0, POPT_ARG_STRING, &version, 0, "software version, which the events of streams name", "VERSION"},
        {"zone", 0, POPT_ARG_STRING, &zone, 0, "failure domain of the endpoint", "NAME"},
        {"cold-ms", 0, POPT_ARG_INT, &coldMs, 0, "how long the endpoint is cold after its start", "MS"},
        {"cold-most", 0, POPT_ARG_INT, &options.maxColdRequestsPerS, 0,
         "limit of requests while cold: N per second begun, counted since the start; more crash the endpoint", "N"},
        {"brittle", 0, POPT_ARG_INT, &options.brittleAfter, 0, "state that more than N rejections for want of room in a second crash the endpoint (0: none)",
         "N"},
        {"streams", 0, POPT_ARG_NONE, &streams, 0, "respond with event streams", nullptr},
        {"events", 0, POPT_ARG_INT, &options.events, 0, "number of events in a stream", "N"},
        {"event-gap-ms", 0, POPT_ARG_INT, &eventGapMs, 0, "time before each event of a stream", "MS"},
        {"last-responses-ms", 0, POPT_ARG_INT, &lastResponsesMs, 0,
         "after a stop signal and some time of service, how long to wait for the responses in progress", "MS"},
        POPT_TABLEEND,
    };
    std::vector<std::string> arguments;
    if (auto rc = cli::parse("yucca-endpoint", argc, argv, programOptions, common, arguments)) {
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
    options.eventGap = Millis(eventGapMs);
    options.lastResponsesTime = Millis(lastResponsesMs);
    options.advertisedPort = static_cast<uint16_t>(advertisedPort);
    options.runLog = runLog ? runLog : "";
    options.arrivalLog = arrivalLog ? arrivalLog : "";
    options.backoffViolationLog = backoffViolationLog ? backoffViolationLog : "";
    options.crashBody = crashBody ? crashBody : "";
    options.crashPart = crashPart ? crashPart : "";
    options.version = version ? version : "";
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
    asio::co_spawn(loop, stopGracefully(endpoint, server, options.stopDelay, options.lastResponsesTime), [&](std::exception_ptr) {
        loop.stop();
    });
    loop.run();
    log::event(log::Event::ProgramStopped);
    return cli::ExitOk;
}
