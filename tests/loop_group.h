// Test groups that run an event loop. Must be included last, because CppUTest's memory leak macros redefine operator
// new.
#pragma once

#include "fixture.h"

#include <CppUTest/TestHarness.h>
// MemoryLeakWarningPlugin.h requires TestHarness.h first; the blank line prevents reordering.

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <memory>

// Asio caches coroutine frames per thread, which CppUTest's leak detection reports as leaks. Detection is disabled in
// these groups from before the loop's creation until after its destruction.
#define LOOP_GROUP(name)                                                                                                                                       \
    TEST_GROUP(name)                                                                                                                                           \
    {                                                                                                                                                          \
        std::unique_ptr<Loop> m_loop;                                                                                                                          \
        Loop &loop()                                                                                                                                           \
        {                                                                                                                                                      \
            return *m_loop;                                                                                                                                    \
        }                                                                                                                                                      \
        void setup() override                                                                                                                                  \
        {                                                                                                                                                      \
            MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();                                                                                       \
            m_loop = std::make_unique<Loop>();                                                                                                                 \
        }                                                                                                                                                      \
        void teardown() override                                                                                                                               \
        {                                                                                                                                                      \
            m_loop.reset();                                                                                                                                    \
            MemoryLeakWarningPlugin::restoreNewDeleteOverloads();                                                                                              \
        }                                                                                                                                                      \
    }
