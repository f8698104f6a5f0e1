// SPDX-License-Identifier: Apache-2.0
#include "noticeseries.h"

#include <support/pausebound.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// After a host has passed on that an upstream leaves, callers' new requests must not reach it from there, by
/// the users' sheets.
constexpr duration leaving_margin = 2s;

const seen_request* find_request(
    const std::map<std::string, const seen_request*>& by_id, const std::string& request)
{
    const auto found = by_id.find(request);
    return found == by_id.end() ? nullptr : found->second;
}

} // namespace

std::chrono::milliseconds notice_series::draw_time(unsigned from, unsigned span)
{
    return std::chrono::milliseconds(from + this->random() % span);
}

notice_series::refusing_time notice_series::draw_refusing(const std::string& upstream, time_point now)
{
    refusing_time item;
    item.upstream = upstream;
    item.pause = this->draw_time(1000, 1500);
    item.begin = now + this->draw_time(0, 4000);
    item.end = item.begin + this->draw_time(500, 3000);
    return item;
}

void notice_series::draw(const std::string& paused_engine, const std::string& leaving_engine,
    const std::string& paused_service, time_point now)
{
    this->refusing = {this->draw_refusing(paused_engine, now), this->draw_refusing(paused_service, now)};
    this->leaving = leaving_engine;
    this->leaves_at = now + this->draw_time(0, 4000);
}

void notice_series::apply(time_point now)
{
    for (const refusing_time& item : this->refusing) {
        if (!this->has_ended && now >= item.begin && now < item.end) {
            this->world.pauses[item.upstream] = item.pause;
        } else {
            this->world.pauses.erase(item.upstream);
        }
    }
    if (!this->has_ended && now >= this->leaves_at) {
        this->world.leaving.insert(this->leaving);
    }
}

std::string notice_series::end()
{
    this->has_ended = true;
    this->world.pauses.clear();
    return this->leaving;
}

void notice_series::check(
    const std::vector<seen_request>& requests, const excuse& is_excused, const std::string& faults) const
{
    std::map<std::string, const seen_request*> by_id;
    for (const seen_request& request : requests) {
        by_id[request.id] = &request;
    }
    this->check_pauses(by_id, is_excused, faults);
    this->check_leaving(by_id, is_excused, faults);
}

void notice_series::check_pauses(const std::map<std::string, const seen_request*>& by_id,
    const excuse& is_excused, const std::string& faults) const
{
    for (const standins::refused_arrival& refusal : this->world.refused) {
        const seen_request* refused = find_request(by_id, refusal.request);
        const time_point end = refusal.at + refusal.pause;
        if (refused == nullptr || is_excused(refused->host, refusal.at, end)) {
            continue;
        }
        std::vector<time_point> arrivals;
        for (const standins::request_arrival& arrival : this->world.arrivals.at(refusal.upstream)) {
            const seen_request* request = find_request(by_id, arrival.request);
            if (request != nullptr && request->host == refused->host) {
                arrivals.push_back(arrival.at);
            }
        }
        EXPECT_LE(most_in_one_pause(arrivals, {{refusal.at, refusal.pause}}), most_in_pause)
            << refusal.upstream << " asked host " << refused->host << " for a pause, after" << faults;
    }
}

void notice_series::check_leaving(const std::map<std::string, const seen_request*>& by_id,
    const excuse& is_excused, const std::string& faults) const
{
    const auto found = this->world.arrivals.find(this->leaving);
    if (found == this->world.arrivals.end()) {
        return;
    }
    std::map<std::size_t, time_point> told; // when each host first passed the word on
    for (const standins::request_arrival& arrival : found->second) {
        const seen_request* request = find_request(by_id, arrival.request);
        if (request == nullptr || arrival.at < this->leaves_at) {
            continue;
        }
        const auto word = told.find(request->host);
        const bool is_late = word != told.end() && request->sent > word->second + leaving_margin;
        EXPECT_FALSE(is_late && !is_excused(request->host, word->second, arrival.at))
            << this->leaving << " told host " << request->host << " that it leaves, and got " << request->id
            << ", after" << faults;
        if (request->answered && request->status == 200) {
            const time_point passed_on = *request->answered;
            const auto first = told.try_emplace(request->host, passed_on).first;
            first->second = std::min(first->second, passed_on);
        }
    }
}

} // namespace sailtiller::tests
