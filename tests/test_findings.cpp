// Validation of settings: every problem of a document is reported with its JSON path.
#include "settings.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

TEST_GROUP(Settings){};

TEST(Settings, EveryProblemIsCollectedWithItsPath)
{
    Findings f;
    auto doc = settings::parseText(R"({
        // comments are allowed
        "loadFactor": 9.0,
        "threads": "four",
        "listen": {"port": 70000, "colour": "blue"},
        "polcy": "bounded"
    })",
                                   f);
    CHECK(f.empty());
    settings::parseRouter(doc, f);
    LONGS_EQUAL(5, f.items().size());
    auto report = f.report();
    CHECK(report.find("/loadFactor: must be in [1, 4]") != std::string::npos);
    CHECK(report.find("/threads: must be an integer") != std::string::npos);
    CHECK(report.find("/listen/port: must be in [0, 65535]") != std::string::npos);
    CHECK(report.find("/listen/colour: unknown key") != std::string::npos);
    CHECK(report.find("/polcy: unknown key") != std::string::npos);
}

TEST(Settings, ValidSettingsGiveTheirValuesAndNoFindings)
{
    Findings f;
    auto s = settings::parseEngine(settings::parseText(R"({"slots": 4, "kind": "service", "checkFencing": false})", f), f);
    CHECK(f.empty());
    LONGS_EQUAL(4, s.slots);
    CHECK(s.kind == EndpointKind::Service);
    CHECK_FALSE(s.checkFencing);
}

TEST(Settings, SyntaxErrorIsOneFinding)
{
    Findings f;
    settings::parseText("{\"slots\": 4,,}", f);
    LONGS_EQUAL(1, f.items().size());
}

TEST(Settings, UnknownEnumNameIsAFinding)
{
    Findings f;
    settings::parseRouter(settings::parseText(R"({"policy": "random"})", f), f);
    LONGS_EQUAL(1, f.items().size());
    STRCMP_EQUAL("/policy", f.items()[0].path.c_str());
}
