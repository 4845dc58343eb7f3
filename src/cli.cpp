#include "cli.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>

namespace yucca::cli
{

std::optional<int> parse(const char *program, int argc, const char **argv, const poptOption *programOptions, CommonOptions &common,
                         std::vector<std::string> &arguments, const char *usage)
{
    const poptOption commonTable[] = {
        {"config", 'c', POPT_ARG_STRING, &common.config, 0, "settings file (JSON with comments)", "FILE"},
        {"version", 'V', POPT_ARG_NONE, &common.version, 0, "print the version and exit", nullptr},
        POPT_TABLEEND,
    };
    const poptOption noProgramOptions[] = {POPT_TABLEEND};
    const poptOption table[] = {
        {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, const_cast<poptOption *>(programOptions ? programOptions : noProgramOptions), 0, "Options:", nullptr},
        {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, const_cast<poptOption *>(commonTable), 0, "Common options:", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx = poptGetContext(program, argc, argv, table, 0);
    if (usage) {
        poptSetOtherOptionHelp(ctx, usage);
    }
    int rc;
    while ((rc = poptGetNextOpt(ctx)) > 0) { }
    if (rc < -1) {
        fprintf(stderr, "%s: %s: %s\n", program, poptBadOption(ctx, POPT_BADOPTION_NOALIAS), poptStrerror(rc));
        poptFreeContext(ctx);
        return ExitUsage;
    }
    if (common.version) {
        printf("%s %s\n", program, YUCCA_VERSION);
        poptFreeContext(ctx);
        return ExitOk;
    }
    while (const char *arg = poptGetArg(ctx)) {
        arguments.emplace_back(arg);
    }
    poptFreeContext(ctx);
    return std::nullopt;
}

Task<void> waitForStopSignal()
{
    {
        asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
        boost::system::error_code ec;
        co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    // The set restores the default action, which would end the process in the middle of its stop.
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
}

} // namespace yucca::cli
