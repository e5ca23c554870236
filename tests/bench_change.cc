/* Steps of taking a configuration document, by its number of routes.  */

#include <benchmark/benchmark.h>

extern "C"
{
#include "mesh/mesh_proto.h"
#include "platform.h"
}

#include <cstring>
#include <string>
#include <vector>

namespace
{
std::string
document (int64_t routes, int64_t hosts = 40)
{
  std::string text
      = R"({"version":7,"services":{"s":{"healthCheckPath":"/h"}},)"
        R"("tenants":{"u":{"apiKeys":["key"]}},"routes":{)";
  for (int64_t i = 0; i < routes; i++)
    text += (i > 0 ? ",\"" : "\"") + std::string ("route-")
            + std::to_string (i) + R"(":{"host":"h)"
            + std::to_string (i % hosts) + R"(.example","pathPrefix":"/more/)"
            + std::to_string (i)
            + R"(/","kind":"safe","timeoutS":8,"targetLatencyS":1.5,)"
              R"("priority":2,"attempts":3,"service":"s"})";
  return text + "}}";
}

void
BM_Parse (benchmark::State &state)
{
  std::string text = document (state.range (0));
  for (auto _ : state)
    {
      error_info_t error = {};
      policy_t *policy
          = platform_parse_policy (text.data (), text.size (), &error);
      policy_free (policy);
    }
  state.counters["text_bytes"] = (double)text.size ();
  state.counters["policy_bytes"]
      = (double)(state.range (0) * sizeof (policy_route_t));
}

void
BM_Free (benchmark::State &state)
{
  std::string text = document (state.range (0));
  for (auto _ : state)
    {
      state.PauseTiming ();
      error_info_t error = {};
      policy_t *policy
          = platform_parse_policy (text.data (), text.size (), &error);
      state.ResumeTiming ();
      policy_free (policy);
    }
}

void
BM_EncodeFrame (benchmark::State &state)
{
  std::string text = document (state.range (0));
  mesh_document sent = {};
  sent.text = { (u_int)text.size (), text.data () };
  std::vector<char> frame (text.size () + 1024);
  for (auto _ : state)
    {
      XDR xdr;
      xdrmem_create (&xdr, frame.data (), frame.size (), XDR_ENCODE);
      if (!xdr_mesh_document (&xdr, &sent))
        state.SkipWithError ("does not fit");
    }
}

void
BM_DecodeFrame (benchmark::State &state)
{
  std::string text = document (state.range (0));
  mesh_document sent = {};
  sent.text = { (u_int)text.size (), text.data () };
  std::vector<char> frame (text.size () + 1024);
  XDR xdr;
  xdrmem_create (&xdr, frame.data (), frame.size (), XDR_ENCODE);
  xdr_mesh_document (&xdr, &sent);
  for (auto _ : state)
    {
      mesh_document got = {};
      xdrmem_create (&xdr, frame.data (), frame.size (), XDR_DECODE);
      if (!xdr_mesh_document (&xdr, &got))
        state.SkipWithError ("malformed");
      xdr_free ((xdrproc_t)xdr_mesh_document, (char *)&got);
    }
}

/* A request for a route of a host with many.  */
void
BM_FindRoute (benchmark::State &state)
{
  std::string text = document (state.range (0), 1);
  error_info_t error = {};
  policy_t *policy
      = platform_parse_policy (text.data (), text.size (), &error);
  for (auto _ : state)
    benchmark::DoNotOptimize (
        policy_find_route (policy, "h0.example", 10, "/more/7/x"));
  policy_free (policy);
}

BENCHMARK (BM_Parse)->Arg (1400)->Arg (2800)->Arg (10000);
BENCHMARK (BM_Free)->Arg (1400)->Arg (2800)->Arg (10000)->Iterations (20);
BENCHMARK (BM_FindRoute)->Arg (22)->Arg (1400)->Arg (2800)->Arg (10000);
BENCHMARK (BM_EncodeFrame)->Arg (1400)->Arg (2800)->Arg (10000);
BENCHMARK (BM_DecodeFrame)->Arg (1400)->Arg (2800)->Arg (10000);
}

BENCHMARK_MAIN ();
