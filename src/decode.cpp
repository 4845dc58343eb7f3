#include "decode.h"

#include <string>
#include <utility>
#include <vector>

namespace yucca::decode
{

using json = nlohmann::json;

namespace
{

// Builds a value from the events of a parser, and stops the parser at the bounds.
class BoundedBuilder : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return add(nullptr);
    }
    bool boolean(bool value) override
    {
        return add(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return add(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t value, const string_t &) override
    {
        return add(value);
    }
    bool string(string_t &value) override
    {
        return add(std::move(value));
    }
    bool binary(binary_t &value) override
    {
        return add(json(std::move(value)));
    }
    bool start_object(std::size_t) override
    {
        return open(json::object());
    }
    bool key(string_t &name) override
    {
        m_member = &(*m_open.back())[std::move(name)];
        return true;
    }
    bool end_object() override
    {
        m_open.pop_back();
        return true;
    }
    bool start_array(std::size_t) override
    {
        return open(json::array());
    }
    bool end_array() override
    {
        m_open.pop_back();
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const json::exception &error) override
    {
        m_error = {Malformed, std::string("is not well-formed: ") + error.what()};
        return false;
    }

    json takeValue()
    {
        return std::move(m_value);
    }
    Error error() const
    {
        return m_error;
    }

private:
    bool add(json value)
    {
        if (++m_values > maxValues) {
            m_error = {OutOfBounds, "has more than " + std::to_string(maxValues) + " values"};
            return false;
        }
        place() = std::move(value);
        return true;
    }
    bool open(json container)
    {
        if (m_open.size() == maxDepth) {
            m_error = {OutOfBounds, "is nested deeper than " + std::to_string(maxDepth) + " levels"};
            return false;
        }
        if (!add(std::move(container))) {
            return false;
        }
        m_open.push_back(m_last);
        return true;
    }
    // Returns where the next value belongs: the root, a new element of the open list, or the last named member.
    json &place()
    {
        if (m_open.empty()) {
            m_last = &m_value;
        } else if (m_open.back()->is_array()) {
            m_last = &m_open.back()->emplace_back();
        } else {
            m_last = m_member;
        }
        return *m_last;
    }

    json m_value;
    std::vector<json *> m_open; ///< the lists and objects that have begun, outermost first
    json *m_last = nullptr; ///< the last value that was placed
    json *m_member = nullptr; ///< of the open object
    std::size_t m_values = 0;
    Error m_error{Malformed, "is incomplete"};
};

template <typename Bytes> Result<json> build(const Bytes &bytes, json::input_format_t format, Comments comments)
{
    BoundedBuilder builder;
    const bool whole = json::sax_parse(bytes.begin(), bytes.end(), &builder, format, true, comments == Comments::Ignored);
    if (!whole) {
        return builder.error();
    }
    return builder.takeValue();
}

} // namespace

Result<json> text(std::string_view bytes, Comments comments)
{
    return build(bytes, json::input_format_t::json, comments);
}

json textOrNull(std::string_view bytes)
{
    auto decoded = text(bytes);
    return ok(decoded) ? std::move(std::get<json>(decoded)) : json();
}

Result<json> cbor(std::span<const uint8_t> bytes)
{
    return build(bytes, json::input_format_t::cbor, Comments::Refused);
}

} // namespace yucca::decode
