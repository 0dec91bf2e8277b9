#include <accounts/accounts.h>
#include <algorithm>

namespace comfreypier::accounts {

AskSequence::AskSequence(std::vector<std::string> vms, Time targetLatency, Time now)
    : vms(std::move(vms))
    , timeout(std::clamp<Time>(targetLatency / askTimeoutTargetPart, minAskTimeout, maxAskTimeout))
    , end(now + std::clamp<Time>(targetLatency / askTimeTargetPart, minAskTime, maxAskTime))
{
}

AskSequence::Step AskSequence::next(Time now)
{
    if (this->answer || now >= this->end)
        return {};
    while (this->position < this->vms.size()) {
        const auto& vm = this->vms[this->position];
        bool waits = this->asks > 0 && std::find(this->open.begin(), this->open.end(), vm) != this->open.end();
        if (waits && now < this->waitUntil)
            return { Action::Wait, vm, this->waitUntil };
        if (this->asks == 0 || (waits && this->asks < asksPerVm)) {
            if (this->asks++ == 0)
                this->open.push_back(vm);
            this->waitUntil = std::min(now + this->timeout, this->end);
            return { Action::Ask, vm, {} };
        }
        if (waits)
            this->givenUp.push_back(vm);
        this->position++;
        this->asks = 0;
    }
    return {};
}

bool AskSequence::recordAnswer(const std::string& vm, const ChargeAnswer& given)
{
    // A VM that answers after the decision stays unanswered: what it charged is given back.
    if (this->answer || std::erase(this->open, vm) == 0 || given.outcome == ChargeOutcome::Unknown)
        return false;
    this->answer = given;
    this->answeredBy = vm;
    return true;
}

std::vector<std::string> AskSequence::silentVms() const
{
    std::vector<std::string> silent;
    std::copy_if(this->givenUp.begin(), this->givenUp.end(), std::back_inserter(silent), [this](const auto& vm) { return std::find(this->open.begin(), this->open.end(), vm) != this->open.end(); });
    return silent;
}

} // namespace comfreypier::accounts
