// The test groups that run an event loop. Included last: CppUTest's
// memory-leak macros redefine operator new.
#pragma once

#include "rig.h"

#include <CppUTest/TestHarness.h>
// The plugin's header needs TestHarness.h first; the blank line keeps the order.

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <memory>

// Asio caches coroutine frames per thread, which CppUTest's per-test leak
// count takes for leaks: it is off in the groups that run an event loop,
// from before the loop is made until after it is gone.
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
