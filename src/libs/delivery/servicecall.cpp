// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <delivery/servicecall.h>

namespace sailtiller {

service_call::service_call(request call_request, service_hooks hooks,
    std::function<void(const service_answer&)> on_answer,
    std::function<void(const request_failure&)> on_failure)
    : call_request(std::move(call_request))
    , hooks(std::move(hooks))
    , on_answer(std::move(on_answer))
    , on_failure(std::move(on_failure))
{
}

service_call::~service_call()
{
    this->end_attempt();
}

void service_call::start()
{
    this->begin_attempt();
}

void service_call::begin_attempt()
{
    this->target = this->hooks.choose_upstream(this->failed_upstreams);
    if (!this->target) {
        this->fail({send_certainty::not_sent, {"choose upstream", this->call_request.service.value()},
            "no upstream of the service is live", {}});
        return;
    }
    ++this->attempts;
    this->hooks.note(
        "choose upstream", this->target->name.value(), "attempt " + std::to_string(this->attempts));
    this->target->load->note_sent();
    this->sent_at = this->hooks.timers.now();
    const duration limit = this->call_request.is_repeatable ? this->call_request.times.first_answer
                                                            : this->call_request.times.request;
    this->timer = this->hooks.timers.schedule_after(limit, [this] {
        this->timer = 0;
        this->handle_failure({send_certainty::may_have_run, {"await answer", this->target->name.value()},
            "no answer within the time limit", {}});
    });
    this->call = this->hooks.send(
        *this->target, [this](const service_answer& answer) { this->handle_answer(answer); },
        [this](const send_failure& failure) {
            this->call = 0;
            this->handle_failure(failure);
        });
}

void service_call::end_attempt()
{
    if (this->timer != 0) {
        this->hooks.timers.cancel(this->timer);
        this->timer = 0;
    }
    if (this->call != 0) {
        this->hooks.cancel_call(this->call);
        this->call = 0;
    }
    if (this->target) {
        this->target->load->note_finished();
        this->target.reset();
    }
}

void service_call::handle_answer(const service_answer& answer)
{
    this->call = 0;
    const time_point now = this->hooks.timers.now();
    if (answer.status >= http_status::first_server_error) {
        this->target->load->note_failure(now);
    } else {
        this->target->load->note_success(now - this->sent_at);
    }
    this->end_attempt();
    this->finished = true;
    this->on_answer(answer);
}

void service_call::handle_failure(const send_failure& failure)
{
    const service_option failed = *this->target;
    this->hooks.note(failure.origin.step, failed.name.value(), failure.reason);
    if (failure.retry_after) {
        failed.load->note_retry_after(this->hooks.timers.now(), *failure.retry_after);
    } else {
        failed.load->note_failure(this->hooks.timers.now());
    }
    this->failed_upstreams.insert(failed.name);
    this->may_have_run = this->may_have_run || failure.certainty == send_certainty::may_have_run;
    this->end_attempt();
    const bool may_repeat = this->call_request.is_repeatable || !this->may_have_run;
    if (may_repeat && this->attempts < this->call_request.most_attempts && this->hooks.take_retry()) {
        this->begin_attempt();
        return;
    }
    this->fail(failure);
}

void service_call::fail(const send_failure& failure)
{
    this->finished = true;
    const request_outcome outcome = this->may_have_run ? request_outcome::unknown : request_outcome::not_run;
    this->on_failure({outcome, failure.origin, failure.reason, failure.retry_after});
}

} // namespace sailtiller
