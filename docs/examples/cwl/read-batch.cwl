# A batch of readings: each route's readings are checked in a separate task, in parallel, and one
# billing run totals them. If the share of good routes is below the input worst, the batch gets no
# bills.
cwlVersion: v1.2
class: Workflow
$namespaces: {gd: "https://grebedock.example/cwl#"}
inputs:
  routes: string[]
  readings: int[][]
  worst:
    type: double
    default: 0.5
outputs:
  bills: {type: 'int?', outputSource: bill/total}
  good: {type: int, outputSource: verdict/good}
requirements:
  ScatterFeatureRequirement: {}
  InlineJavascriptRequirement: {}
hints:
  gd:Job: {team: ops, jobClass: route-reads, priority: standard, estimate: 10, retries: 2}
steps:
  check:
    scatter: [route, values]
    scatterMethod: dotproduct
    in: {route: routes, values: readings}
    out: [sum]
    run:
      class: CommandLineTool
      inputs:
        route: {type: string, inputBinding: {position: 1}}
        values: {type: "int[]", inputBinding: {position: 2, itemSeparator: "+"}}
      baseCommand: [sh, -c]
      arguments:
        - 'echo "$1" >&2; echo \$(($2))'
        - check
      stdout: sum.txt
      outputs:
        sum:
          type: int
          outputBinding: {glob: sum.txt, loadContents: true, outputEval: "$(parseInt(self[0].contents))"}
  verdict:
    in: {sums: check/sum, worst: worst}
    out: [good, bill]
    run:
      class: ExpressionTool
      inputs: {sums: "int[]", worst: double}
      outputs: {good: int, bill: boolean}
      expression: |
        ${
          var good = inputs.sums.filter(function(s) { return s > 0; }).length;
          return {good: good, bill: good >= inputs.worst * inputs.sums.length};
        }
  bill:
    when: $(inputs.ok)
    in: {ok: verdict/bill, sums: check/sum}
    out: [total]
    run:
      class: CommandLineTool
      inputs:
        sums: {type: "int[]", inputBinding: {position: 1, itemSeparator: "+"}}
      baseCommand: [sh, -c]
      arguments: ['echo \$(($1))', bill]
      stdout: total.txt
      outputs:
        total:
          type: int
          outputBinding: {glob: total.txt, loadContents: true, outputEval: "$(parseInt(self[0].contents))"}
