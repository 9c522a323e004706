// Guards against calls about keys that reach another process than the one that sends the heartbeats, and against answers that are taken
// for the answer to another call.
#include "gateway/grant_caller.h"

#include "link/free_port.h"
#include "link/listener.h"
#include "runtime/raw_socket.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class TextCodec : public GrantCodec
{
public:
    HttpRequest grantRequest(const GrantCall &call) const override
    {
        return { "POST", "/grant", {}, std::to_string(call.range.from) };
    }

    HttpRequest releaseRequest(const ReleaseCall &call) const override
    {
        return { "POST", "/release", {}, std::to_string(call.range.from) };
    }

    std::string handover(const HttpResponse &response) const override
    {
        return std::string(response.header("Handover").value_or(""));
    }
};

class GrantCallerTest : public testing::Test
{
protected:
    GrantCallerTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
        , m_caller(*m_loop, m_codec, m_address, "Id")
    {
        m_listener = Listener::listen(*m_loop, m_address, [this](int descriptor, const std::string &) {
                         m_accepted.emplace_back(descriptor);
                     }).value();
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return m_loop->runUntil(done, seconds(5));
    }

    void run(milliseconds time)
    {
        m_loop->runUntil([] { return false; }, time);
    }

    void connect()
    {
        m_caller.onHeartbeat(m_clock.now());
        bool ready = false;
        m_caller.setReadyHandler([&ready] { ready = true; });
        EXPECT_TRUE(runUntil([&] { return ready && !m_accepted.empty(); }));
        m_caller.setReadyHandler({});
    }

    /// Sends a grant; its outcome is in m_outcome.
    void grant(std::uint32_t from = 0)
    {
        m_outcome.reset();
        m_caller.grant({ { from, 99 }, 7, seconds(3), {} }, [this](GrantOutcome outcome) { m_outcome = outcome; });
    }

    /// Id of the call whose head or body contains the text, once it has arrived on the connection.
    std::string idOn(std::size_t connection, const std::string &text)
    {
        auto &socket = m_accepted.at(connection);
        EXPECT_TRUE(runUntil([&] { return socket.receivedText().find(text) != std::string::npos; }));
        const auto &received = socket.receivedText();
        const auto at = received.rfind("Id: ");
        return received.substr(at + 4, received.find("\r\n", at) - at - 4);
    }

    /// Answers the call with this body, on whichever connection it has arrived.
    void answer(const std::string &body, int status)
    {
        const auto carrier = [&] {
            return std::find_if(
                m_accepted.begin(), m_accepted.end(), [&body](auto &it) { return it.receivedText().ends_with("\r\n\r\n" + body); });
        };
        ASSERT_TRUE(runUntil([&] { return carrier() != m_accepted.end(); }));
        const auto n = static_cast<std::size_t>(carrier() - m_accepted.begin());
        m_accepted[n].write(response(status, idOn(n, body)));
    }

    static std::string response(int status, const std::string &id)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nHandover: token\r\nContent-Length: 2\r\n\r\n{}";
    }

    GrantOutcome outcome()
    {
        EXPECT_TRUE(runUntil([this] { return m_outcome.has_value(); }));
        return m_outcome.value_or(GrantOutcome::NotSent);
    }

    SystemClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    TextCodec m_codec;
    std::deque<RawSocket> m_accepted; ///< References stay valid.
    std::unique_ptr<Listener> m_listener;
    GrantCaller m_caller;
    std::optional<GrantOutcome> m_outcome;
};

} // namespace

// Guards against answers of 8 MiB on each of the connections, which together take the memory of the VM.
TEST_F(GrantCallerTest, AnAnswerThatIsTooLongForKeysEndsItsConnectionAtOnce)
{
    connect();
    grant();
    const auto id = idOn(0, "/grant");
    m_accepted.front().write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1000000\r\n\r\n");
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
    EXPECT_TRUE(runUntil([this] { return m_accepted.front().isClosed(); }));
}

TEST_F(GrantCallerTest, TellsWhatTheBackendServerAnswered)
{
    connect();
    grant(11);
    answer("11", 200);
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
    grant(12);
    answer("12", 409);
    EXPECT_EQ(outcome(), GrantOutcome::HigherTokenSeen);
    grant(13);
    answer("13", 400);
    EXPECT_EQ(outcome(), GrantOutcome::Rejected);
}

TEST_F(GrantCallerTest, SendsNothingBeforeAHeartbeat)
{
    grant();
    EXPECT_EQ(outcome(), GrantOutcome::NotSent);
    EXPECT_TRUE(runUntil([this] { return !m_accepted.empty(); }));
    grant();
    EXPECT_EQ(outcome(), GrantOutcome::NotSent);
}

TEST_F(GrantCallerTest, ACallWithoutAnAnswerMayBeApplied)
{
    connect();
    grant();
    idOn(0, "/grant");
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

TEST_F(GrantCallerTest, AnAnswerThatBreaksOffIsNone)
{
    connect();
    grant();
    const auto id = idOn(0, "/grant");
    m_accepted[0].write("HTTP/1.1 200 X\r\nId: " + id + "\r\nContent-Length: 20\r\n\r\n{}");
    m_accepted[0].close();
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

TEST_F(GrantCallerTest, AnAnswerWithoutLengthThatIsResetIsNone)
{
    connect();
    grant();
    const auto id = idOn(0, "/grant");
    m_accepted[0].write("HTTP/1.1 200 X\r\nId: " + id + "\r\n\r\n{}");
    run(milliseconds(20));
    m_accepted[0].reset();
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

TEST_F(GrantCallerTest, AnAnswerWithABlankInAHeaderNameIsNone)
{
    connect();
    grant();
    const auto id = idOn(0, "/grant");
    m_accepted[0].write("HTTP/1.1 200 X\r\nId: " + id + "\r\nContent-Length : 2\r\n\r\n{}");
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

TEST_F(GrantCallerTest, AnAnswerWithoutAValidStatusIsNone)
{
    connect();
    grant();
    const auto id = idOn(0, "/grant");
    m_accepted[0].write("HTTP/1.1 000 X\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

// The answer to an earlier call, sent twice.
TEST_F(GrantCallerTest, ASecondCopyOfAnAnswerIsNotTakenForTheNextOne)
{
    connect();
    grant();
    const auto first = idOn(0, "/grant");
    m_accepted[0].write(response(200, first));
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
    const auto carrier = [this] {
        return std::find_if(m_accepted.begin(), m_accepted.end(), [](auto &it) { return it.receivedText().ends_with("\r\n\r\n12"); });
    };
    grant(12);
    ASSERT_TRUE(runUntil([&] { return carrier() != m_accepted.end(); }));
    carrier()->write(response(200, first));
    EXPECT_EQ(outcome(), GrantOutcome::Unanswered);
}

// While the first call waits, the second one finds a connection that was opened beside it.
TEST_F(GrantCallerTest, AReleaseThatTakesLongHoldsUpNoGrant)
{
    connect();
    std::string handover;
    m_caller.release({ { 5, 9 }, 7 }, [&](GrantOutcome, const std::string &token) { handover = token; });
    const auto id = idOn(0, "/release");
    EXPECT_TRUE(runUntil([this] { return m_accepted.size() == 2; }));
    run(milliseconds(50));
    grant();
    m_accepted[1].write(response(200, idOn(1, "/grant")));
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
    EXPECT_EQ(handover, "");
    m_accepted[0].write(response(200, id));
    EXPECT_TRUE(runUntil([&] { return handover == "token"; }));
}

// The address now belongs to another process; the next heartbeat shows which.
TEST_F(GrantCallerTest, SendsNothingOnAConnectionOpenedAfterTheOldOnesWereLost)
{
    connect();
    run(milliseconds(300));
    m_accepted[0].close();
    run(milliseconds(50));
    grant();
    EXPECT_EQ(outcome(), GrantOutcome::NotSent);
    EXPECT_TRUE(runUntil([this] { return m_accepted.size() == 2; }));
    run(milliseconds(50));
    grant();
    EXPECT_EQ(outcome(), GrantOutcome::NotSent);
    m_caller.onHeartbeat(m_clock.now());
    grant();
    m_accepted[1].write(response(200, idOn(1, "/grant")));
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
}

TEST_F(GrantCallerTest, SendsNothingToTheSuccessorOfAProcess)
{
    connect();
    m_caller.onProcessEnded();
    grant();
    EXPECT_EQ(outcome(), GrantOutcome::NotSent);
}

// The backend server closes connections now and then. Renewals must not wait for a heartbeat each time.
TEST_F(GrantCallerTest, AConnectionOpenedBesideAnotherOneIsUsedAtOnce)
{
    connect();
    grant();
    m_accepted[0].write(response(200, idOn(0, "/grant")));
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_accepted.size() == 2; }));
    run(milliseconds(300));
    m_accepted[0].close();
    run(milliseconds(50));
    grant();
    m_accepted[1].write(response(200, idOn(1, "/grant")));
    EXPECT_EQ(outcome(), GrantOutcome::Accepted);
}
